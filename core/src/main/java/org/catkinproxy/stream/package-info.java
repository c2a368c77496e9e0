/**
 * One answer on its way from an engine to its caller: whole, in order, or explicitly failed.
 *
 * <p>Pure: a deterministic state machine from typed events to typed actions; no I/O, no clock, no
 * threads. May use {@code id} and {@code error} only.
 */
package org.catkinproxy.stream;
