/**
 * The bench: drives the real decision classes against small fakes of engines on a virtual clock,
 * and measures what one decision costs.
 *
 * <p>Everything but the microbenchmarks is deterministic: the same seed gives the same table.
 */
package org.catkinproxy.bench;
