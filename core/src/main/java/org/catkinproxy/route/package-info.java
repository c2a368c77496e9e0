/**
 * The dispatcher, which assigns each request to an engine, and queues or refuses requests under
 * overload.
 *
 * <p>Pure logic: a deterministic state machine that turns typed events and the current time into
 * typed actions; no I/O, no clock, no threads, no randomness. Must not depend on packages other
 * than {@code id}, {@code error}, {@code cache} and {@code config}.
 */
package org.catkinproxy.route;
