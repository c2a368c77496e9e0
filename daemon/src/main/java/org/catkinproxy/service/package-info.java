/**
 * The port to plain services, and its HTTP adapter.
 *
 * <p>The port sends a request exactly once and tells a connection that was never established from
 * everything else; whether to send again is decided by the owner. May use {@code id}, {@code error}
 * and {@code call} of the core.
 */
package org.catkinproxy.service;
