/**
 * Where a request goes and what happens when there is too much: the dispatcher.
 *
 * <p>Pure: a deterministic state machine from typed events and the current time to typed actions;
 * no I/O, no clock, no threads, no randomness. May use {@code id}, {@code error}, {@code cache} and
 * {@code config} only.
 */
package org.catkinproxy.route;
