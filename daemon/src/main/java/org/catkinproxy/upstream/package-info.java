/**
 * The ports to model engines and their HTTP adapters: generations, load, cache events.
 *
 * <p>May use {@code id}, {@code error}, {@code cache}, {@code config}, {@code route} and {@code
 * stream} of the core, and {@code observe}.
 */
package org.catkinproxy.upstream;
