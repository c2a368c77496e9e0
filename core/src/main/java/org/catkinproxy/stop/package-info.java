/**
 * Planned stops: of this entry instance, and of an upstream.
 *
 * <p>Pure: typed events and the time in, typed actions out; no I/O, no clock, no threads. May use
 * {@code id} and {@code error} only.
 */
package org.catkinproxy.stop;
