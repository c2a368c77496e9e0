/**
 * Stand-ins for what surrounds the router: the platform, model engines and plain services.
 *
 * <p>Each stand-in is an HTTP server that keeps everything in memory. It runs as a process of its
 * own ({@link org.catkinproxy.standin.StandinMain}) or inside a test, and fails on request as
 * {@code standins/README.md} lists. The product never depends on this module.
 */
package org.catkinproxy.standin;
