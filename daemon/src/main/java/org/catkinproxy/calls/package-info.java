/**
 * The task that carries calls of plain services through claim, send, record and settlement.
 *
 * <p>The decisions are {@code org.catkinproxy.call}'s; this package runs its actions against the
 * ports of {@code platform} and {@code service}. May use {@code id}, {@code error}, {@code config}
 * and {@code call} of the core, and {@code observe}, {@code platform}, {@code service} and {@code
 * task}.
 */
package org.catkinproxy.calls;
