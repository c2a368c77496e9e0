/**
 * The lease that lets one instance order engines to load and unload weights, and the planning of
 * these orders.
 *
 * <p>Pure logic: the current time is an argument and actions are return values; no I/O, no clock,
 * no threads. Must not depend on packages other than {@code id}, {@code error} and {@code config}.
 */
package org.catkinproxy.order;
