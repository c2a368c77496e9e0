/**
 * The configuration of the system, and the CSV format of the sheets from which it is read.
 *
 * <p>All public types are immutable or stateless; no I/O, no clock, no threads. Must not depend on
 * packages other than {@code id} and {@code error}.
 */
package org.catkinproxy.config;
