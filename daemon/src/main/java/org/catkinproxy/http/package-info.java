/**
 * The HTTP server that callers and operators connect to: limits, timeouts, TLS and error bodies.
 *
 * <p>Independent of what the routes do. Must not depend on other packages of this project than
 * {@code error} and {@code observe}.
 */
package org.catkinproxy.http;
