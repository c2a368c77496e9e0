/**
 * Planned stops (graceful shutdown) of this entry instance and of upstreams.
 *
 * <p>The state machine maps events and the current time to actions; it performs no I/O, reads no
 * clock and starts no threads.
 *
 * <p>Must not depend on other packages of this project than {@code id} and {@code error}.
 */
package org.catkinproxy.stop;
