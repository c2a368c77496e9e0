package org.catkinproxy.chaos;

import java.time.Duration;

/**
 * One failure of a run.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param at when it begins, counted from the start
 * @param kind what fails
 * @param target chooses among the members that can fail so
 * @param length how long it lasts
 * @param seed decides what is left to chance within it
 */
record FaultStep(Duration at, FaultKind kind, int target, Duration length, long seed) {}
