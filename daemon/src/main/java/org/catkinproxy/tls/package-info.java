/**
 * TLS for the listeners for callers and operators, with certificates and keys that are reloaded
 * when their files change.
 *
 * <p>Must not depend on other packages of this project than {@code error} and {@code observe}.
 */
package org.catkinproxy.tls;
