/**
 * Tasks: each owns its state and its sockets, and is reached only by messages.
 *
 * <p>Depends on nothing else of the product but {@code observe}.
 */
package org.catkinproxy.task;
