/**
 * What the gateway serves and the decisions about a forwarded request: routes, access, upstreams,
 * placement, retries and the retry budget, version rollouts and the steps of a planned stop.
 *
 * <p>Everything here is free of I/O, clocks and threads. Times are nanoseconds of the owner's
 * monotonic clock.
 */
package org.catkinproxy.serving;
