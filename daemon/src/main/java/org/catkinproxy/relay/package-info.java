/**
 * Relays answers from engines to callers: one task for each request in progress.
 *
 * <p>May use {@code stream} and {@code route} of the core, {@code upstream}, {@code dispatch},
 * {@code task} and {@code observe}. Knows nothing of HTTP towards callers.
 */
package org.catkinproxy.relay;
