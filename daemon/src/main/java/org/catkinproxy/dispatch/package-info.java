/**
 * The task that owns the dispatcher and reports the engine chosen for each request.
 *
 * <p>Must not depend on other packages of this project than {@code id}, {@code route}, {@code task}
 * and {@code observe}.
 */
package org.catkinproxy.dispatch;
