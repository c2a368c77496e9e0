/**
 * The ports to what the platform gives, and their HTTP adapters.
 *
 * <p>A port never retries a write: an answer that did not come is reported as such, with outcome
 * unknown, and the owner of the decision settles it. May use {@code id} and {@code error} of the
 * core, and {@code observe}.
 */
package org.catkinproxy.platform;
