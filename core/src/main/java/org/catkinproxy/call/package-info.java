/**
 * The state machine of one call that may run at most once, and the records it keeps.
 *
 * <p>Pure: typed events and the current time in, typed actions out; no I/O, no clock, no threads.
 * May use {@code id} and {@code error} only.
 */
package org.catkinproxy.call;
