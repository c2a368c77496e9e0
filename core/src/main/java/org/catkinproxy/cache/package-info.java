/**
 * The keys of cached prompt blocks and the index of where they are believed to be.
 *
 * <p>Pure: no I/O, no clock, no threads. May use {@code id} and {@code error} only.
 */
package org.catkinproxy.cache;
