/**
 * Streams the response of an engine to its caller: complete and in order, or explicitly failed.
 *
 * <p>The state machine maps events to actions deterministically; it performs no I/O, reads no clock
 * and starts no threads.
 *
 * <p>Must not depend on other packages of this project than {@code id} and {@code error}.
 */
package org.catkinproxy.stream;
