/**
 * The interface towards callers: the OpenAI-compatible calls, plain services, entry instances.
 *
 * <p>May use the core, {@code http}, {@code relay}, {@code calls} and {@code observe}. A caller is
 * bound to a workspace by its key, and nothing that it sends can name another.
 */
package org.catkinproxy.caller;
