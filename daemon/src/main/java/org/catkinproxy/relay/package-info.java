/**
 * Relays completions from engines to callers, with one task for each request in progress.
 *
 * <p>May use {@code stream} and {@code route} of the core, {@code upstream}, {@code dispatch},
 * {@code task} and {@code observe}. Must not depend on the HTTP API for callers.
 */
package org.catkinproxy.relay;
