/**
 * Accepts sheets into the platform's store, and keeps the newest accepted configuration in force.
 *
 * <p>May use the core, {@code platform}, {@code task} and {@code observe}; peers are reached
 * through the port {@link org.catkinproxy.configuration.RevisionPeers}.
 */
package org.catkinproxy.configuration;
