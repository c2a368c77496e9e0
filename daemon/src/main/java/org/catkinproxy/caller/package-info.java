/**
 * The HTTP API for callers: OpenAI-compatible completions, plain services and entry instances.
 *
 * <p>May use the core, {@code http}, {@code relay}, {@code calls} and {@code observe}. A caller's
 * key determines its workspace, and no part of a request can select another.
 */
package org.catkinproxy.caller;
