/**
 * The operator interface over HTTP: routes, keys and the audit record of changes.
 *
 * <p>Everything it shows or changes is reached through the ports of this package, which other
 * packages implement; it never touches sockets to peers, engines or the platform. May use the core,
 * {@code http} and {@code observe}.
 */
package org.catkinproxy.operator;
