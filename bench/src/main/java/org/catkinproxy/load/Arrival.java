package org.catkinproxy.load;

import org.catkinproxy.demo.NestedPrompt;

/**
 * One request of a run.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param atNanos when it is to be sent, counted from the start of the run
 * @param prompt what is asked
 * @param maxTokens the most tokens that are wanted
 */
record Arrival(long atNanos, NestedPrompt prompt, int maxTokens) {}
