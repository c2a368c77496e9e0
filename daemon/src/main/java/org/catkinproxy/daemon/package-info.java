/**
 * The process: reads its settings, starts the tasks and ties them together.
 *
 * <p>The only package that knows all others; none may use it.
 */
package org.catkinproxy.daemon;
