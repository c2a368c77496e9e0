/**
 * The settings file of a daemon: its records and the reader that reports every error at once.
 *
 * <p>Settings are immutable and read once, before any port is opened. May use {@code id}, {@code
 * error} and {@code route} of the core only.
 */
package org.catkinproxy.settings;
