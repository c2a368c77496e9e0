/**
 * The HTTP server that callers and operators connect to: limits, time-outs, TLS and error bodies.
 *
 * <p>Knows nothing of what the routes do. May use {@code error} and {@code observe} only.
 */
package org.catkinproxy.http;
