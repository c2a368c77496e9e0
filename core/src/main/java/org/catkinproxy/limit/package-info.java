/**
 * How instances together keep the request rates to which upstreams limit them.
 *
 * <p>The package does no I/O, reads no clock, starts no thread and must not depend on any package
 * outside the core. Times are in nanoseconds of a monotonic clock that the owner of an object
 * reads.
 */
package org.catkinproxy.limit;
