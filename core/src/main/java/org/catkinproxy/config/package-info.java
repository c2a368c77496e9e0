/**
 * The accepted configuration, as the morning sheet gives it, and the sheet's format.
 *
 * <p>Everything here is immutable and pure: no I/O, no clock, no threads. May use {@code id} and
 * {@code error} only.
 */
package org.catkinproxy.config;
