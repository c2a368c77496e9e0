/**
 * TLS of the listeners for callers and operators, with keys that are read again when they change.
 *
 * <p>May use {@code error} of the core, and {@code observe}.
 */
package org.catkinproxy.tls;
