/**
 * The task that keeps up with the instances, and the one that carries out a planned stop.
 *
 * <p>May use the core, {@code platform}, {@code task} and {@code observe}.
 */
package org.catkinproxy.membership;
