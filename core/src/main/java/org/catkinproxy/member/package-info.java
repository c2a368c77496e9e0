/**
 * Cluster membership: which instances exist, which of them may receive new work, and which entry
 * instances a caller should use.
 *
 * <p>Events and the current time update the membership, which produces immutable views; the package
 * performs no I/O, reads no clock and starts no threads.
 *
 * <p>Must not depend on other packages of this project than {@code config}, {@code id} and {@code
 * error}.
 */
package org.catkinproxy.member;
