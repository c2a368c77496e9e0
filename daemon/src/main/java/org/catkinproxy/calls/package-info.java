/**
 * Runs calls to plain services: claims, sends, records and resolves them.
 *
 * <p>The state machine in {@code org.catkinproxy.call} makes the decisions; this package performs
 * its actions through the interfaces of {@code platform} and {@code service}. May use {@code id},
 * {@code error}, {@code config} and {@code call} of the core, and {@code observe}, {@code
 * platform}, {@code service} and {@code task}.
 */
package org.catkinproxy.calls;
