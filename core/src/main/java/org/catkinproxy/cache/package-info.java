/**
 * The keys of prompt blocks, and the index of the engines whose caches are expected to hold them.
 *
 * <p>Pure logic: no I/O, no clock, no threads. Must not depend on packages other than {@code id}
 * and {@code error}.
 */
package org.catkinproxy.cache;
