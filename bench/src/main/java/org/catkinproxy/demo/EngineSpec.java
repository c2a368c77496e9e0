package org.catkinproxy.demo;

/**
 * The size and speed of one engine of the demo.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param pool its pool in the sheet
 * @param slots how many generations it runs at the same time
 * @param cacheBlocks how many blocks it caches
 * @param prefill its prefill speed in tokens per second
 * @param decode its decode speed in tokens per second and generation
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record EngineSpec(
        String pool, int slots, int cacheBlocks, int prefill, int decode, boolean checksFencing) {}
