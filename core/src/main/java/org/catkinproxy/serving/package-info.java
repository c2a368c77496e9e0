/**
 * The gateway's configuration and its decisions about a forwarded request: routes, access,
 * upstreams, placement, admission, retries and the retry budget, and rollouts of model weights.
 *
 * <p>The package does no I/O, reads no clock, starts no thread and must not depend on any package
 * outside the core. Times are in nanoseconds of a monotonic clock that the owner of an object
 * reads.
 */
package org.catkinproxy.serving;
