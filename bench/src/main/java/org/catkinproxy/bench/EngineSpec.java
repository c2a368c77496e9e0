package org.catkinproxy.bench;

/**
 * How able a fake engine is. Immutable.
 *
 * @param prefillTokensPerSecond prompt tokens computed in a second
 * @param decodeTokensPerSecond tokens generated in a second, for one request
 * @param slots requests worked on at the same time
 * @param cacheBlocks blocks that the cache holds
 */
record EngineSpec(
        double prefillTokensPerSecond, double decodeTokensPerSecond, int slots, int cacheBlocks) {}
