/**
 * Which instances exist, which may be given work, and which entry instances a caller should use.
 *
 * <p>Pure: typed events and the time in, immutable views out; no I/O, no clock, no threads. May use
 * {@code config}, {@code id} and {@code error} only.
 */
package org.catkinproxy.member;
