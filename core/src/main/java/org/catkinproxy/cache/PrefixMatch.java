package org.catkinproxy.cache;

import static com.google.common.base.Preconditions.checkElementIndex;

import java.util.Arrays;

/**
 * The number of leading blocks of one prompt that each engine is expected to have cached.
 *
 * <p>One instance is reused for all calls of {@link BlockIndex#match}, so that a lookup allocates
 * nothing unless the index has more engines than before. Engines without the first block are not
 * listed. Not thread-safe.
 */
public final class PrefixMatch {
    private int[] mMatchedBlocks = new int[0];
    private int[] mEngines = new int[0];
    private int mEngineCount;

    private PrefixMatch() {}

    /** Returns an empty match. */
    public static PrefixMatch create() {
        return new PrefixMatch();
    }

    /** Returns the number of listed engines, which hold at least the first block. */
    public int engineCount() {
        return mEngineCount;
    }

    /** Returns the engine number at {@code index} in the list, from 0 to the count less 1. */
    public int engine(int index) {
        return mEngines[checkElementIndex(index, mEngineCount)];
    }

    /** Returns how many leading blocks the engine holds, 0 if it is not listed. */
    public int matchedBlocks(int engine) {
        return engine < mMatchedBlocks.length ? mMatchedBlocks[engine] : 0;
    }

    void reset(int engines) {
        for (int i = 0; i < mEngineCount; i++) {
            mMatchedBlocks[mEngines[i]] = 0;
        }
        mEngineCount = 0;
        if (mMatchedBlocks.length < engines) {
            mMatchedBlocks = Arrays.copyOf(mMatchedBlocks, engines);
            mEngines = Arrays.copyOf(mEngines, engines);
        }
    }

    /**
     * Adds the block at {@code depth} to an engine's match if the engine holds all earlier blocks.
     *
     * @return whether the block was added
     */
    boolean extend(int engine, int depth) {
        if (mMatchedBlocks[engine] != depth) {
            return false;
        }
        if (depth == 0) {
            mEngines[mEngineCount++] = engine;
        }
        mMatchedBlocks[engine] = depth + 1;
        return true;
    }
}
