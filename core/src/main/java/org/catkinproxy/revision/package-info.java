/**
 * How an accepted configuration spreads: a pure state machine, run by every instance.
 *
 * <p>Typed events and the time in, typed actions out; no I/O, no clock, no threads. May use {@code
 * config}, {@code id} and {@code error} only.
 */
package org.catkinproxy.revision;
