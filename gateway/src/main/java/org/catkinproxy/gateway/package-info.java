/**
 * Forwards callers' requests to upstreams.
 *
 * <p>A single event loop owns all sockets and all state of this package, so that no class here
 * needs locks. Routing, retry and admission decisions are made by {@code org.catkinproxy.serving}.
 * This package must not depend on the header names, row formats or URLs of a platform: only the
 * implementations of its interfaces, such as {@link org.catkinproxy.gateway.HeaderCodec} and {@link
 * org.catkinproxy.gateway.TableStore}, know them.
 */
package org.catkinproxy.gateway;
