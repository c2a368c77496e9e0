/**
 * The task that owns the dispatcher and answers where requests go.
 *
 * <p>May use {@code route} of the core, and {@code task} and {@code observe}.
 */
package org.catkinproxy.dispatch;
