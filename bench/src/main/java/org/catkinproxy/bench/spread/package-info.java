/**
 * Simulates the spread of revisions over many instances on a virtual clock.
 *
 * <p>Runs the product's own machine; only the network and the store are simulated. May use the
 * core, and the generated code of {@code peer} to weigh messages.
 */
package org.catkinproxy.bench.spread;
