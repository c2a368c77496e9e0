/**
 * The mailbox of a task. A task owns its state and its sockets, and other code reaches it only by
 * messages.
 *
 * <p>Must not depend on other packages of this project than {@code observe}.
 */
package org.catkinproxy.task;
