package org.catkinproxy.cache;

import static com.google.common.base.Preconditions.checkElementIndex;

import java.util.Arrays;

/**
 * How many leading blocks of one prompt each engine is believed to hold.
 *
 * <p>Made once and filled again by each {@link BlockIndex#match}, so that a look-up allocates
 * nothing. Engines that hold none are not listed. Not safe for use by several threads.
 */
public final class PrefixMatch {
    private int[] mBlocks = new int[0];
    private int[] mEngines = new int[0];
    private int mCount;

    private PrefixMatch() {}

    /** Returns an empty match. */
    public static PrefixMatch create() {
        return new PrefixMatch();
    }

    /** Returns the number of engines that hold at least the first block. */
    public int count() {
        return mCount;
    }

    /** Returns the number of the engine at a place in the list. */
    public int engine(int index) {
        return mEngines[checkElementIndex(index, mCount)];
    }

    /** Returns how many leading blocks the engine holds. */
    public int blocks(int engine) {
        return engine < mBlocks.length ? mBlocks[engine] : 0;
    }

    void reset(int engines) {
        for (int i = 0; i < mCount; i++) {
            mBlocks[mEngines[i]] = 0;
        }
        mCount = 0;
        if (mBlocks.length < engines) {
            mBlocks = Arrays.copyOf(mBlocks, engines);
            mEngines = Arrays.copyOf(mEngines, engines);
        }
    }

    /** Counts the block at {@code depth} if the engine holds all before it. */
    boolean extend(int engine, int depth) {
        if (mBlocks[engine] != depth) {
            return false;
        }
        if (depth == 0) {
            mEngines[mCount++] = engine;
        }
        mBlocks[engine] = depth + 1;
        return true;
    }
}
