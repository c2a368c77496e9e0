/**
 * Propagation of accepted configurations to all entry instances.
 *
 * <p>Every entry instance runs the state machine, which maps events and the current time to
 * actions; it performs no I/O, reads no clock and starts no threads.
 *
 * <p>Must not depend on other packages of this project than {@code config}, {@code id} and {@code
 * error}.
 */
package org.catkinproxy.revision;
