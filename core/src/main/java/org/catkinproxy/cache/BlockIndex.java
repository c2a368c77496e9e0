package org.catkinproxy.cache;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.BlockKey;

import java.util.Arrays;
import java.util.List;

/**
 * An index from prompt blocks to the engines whose caches are expected to hold them, kept in one
 * array of primitive values.
 *
 * <p>Engines are identified by small numbers that the owner of the index assigns. The table uses
 * open addressing with linear probing. Each row of two longs is one pair of block and engine: a
 * 64-bit fingerprint of the block's key, then the engine's number, its epoch and the time at which
 * the pair was last confirmed. Blocks with the same fingerprint cannot be told apart, so a result
 * is a hint that the engine has to confirm.
 *
 * <p>Invariants: a row whose epoch differs from its engine's epoch, or that is older than the
 * engine's age limit, is never reported; a block that has {@link #MAX_HOLDERS} rows gets another
 * only in place of an outdated row. Clearing an engine takes constant time, except once in 65,536
 * times, when its epoch wraps around and the table is rebuilt. All other operations on one pair
 * take expected constant time, except a put that rehashes the table. Not thread-safe.
 */
public final class BlockIndex {
    /** The number of engines per block beyond which the index does not grow. */
    public static final int MAX_HOLDERS = 64;

    /** The highest engine number; with 1 added, engine numbers fit in 16 bits. */
    public static final int MAX_ENGINE_NUMBER = 65_534;

    private static final int WORDS_PER_ROW = 2;
    private static final int INITIAL_ROWS = 1_024;

    /** The table is rehashed when more than this part of its rows would be in use. */
    private static final int MAX_LOAD_PERCENT = 75;

    /** A rehash doubles the table if more than this part of its rows is live. */
    private static final int GROW_LOAD_PERCENT = 45;

    private static final int ENGINE_SHIFT = 48;
    private static final int EPOCH_SHIFT = 32;
    private static final int EPOCH_MASK = 0xffff;
    private static final long TIME_MASK = 0xffff_ffffL;

    /** Rows store times in units of 2^20 nanoseconds, about a millisecond. */
    private static final int TIME_SHIFT = 20;

    private static final long NO_AGE_LIMIT = TIME_MASK;

    /** 2^64 divided by the golden ratio, for multiplicative hashing. */
    private static final long HASH_MULTIPLIER = 0x9e37_79b9_7f4a_7c15L;

    private long[] mRows = new long[INITIAL_ROWS * WORDS_PER_ROW];
    private int mUsedRows;
    private int[] mEpochs = new int[0];
    private long[] mAgeLimits = new long[0];

    private BlockIndex() {}

    /** Returns an empty index. */
    public static BlockIndex create() {
        return new BlockIndex();
    }

    /**
     * Records that the engine holds the block, confirmed at {@code nowNanos}.
     *
     * <p>The pair may be ignored if {@link #MAX_HOLDERS} engines are recorded for the block.
     */
    public void put(BlockKey key, int engine, long nowNanos) {
        checkEngine(engine);
        ensureEngineCapacity(engine);
        if ((mUsedRows + 1) * 100L > (long) rowCount() * MAX_LOAD_PERCENT) {
            rehash(nowNanos);
        }
        long fingerprint = fingerprint(key);
        long state = packState(engine, nowNanos);
        int stale = -1;
        int holders = 0;
        int row = homeRow(fingerprint);
        for (; stateAt(row) != 0; row = nextRow(row)) {
            if (fingerprintAt(row) == fingerprint) {
                if (engineAt(row) == engine) {
                    writeRow(row, fingerprint, state);
                    return;
                }
                holders++;
            }
            if (stale < 0 && !isLive(row, nowNanos)) {
                stale = row;
            }
        }
        if (stale >= 0) {
            writeRow(stale, fingerprint, state);
        } else if (holders < MAX_HOLDERS) {
            writeRow(row, fingerprint, state);
            mUsedRows++;
        }
    }

    /**
     * Removes the record that the engine holds the block.
     *
     * @return the time since the pair was last confirmed, in nanoseconds, or -1 if the index did
     *     not have it
     */
    public long remove(BlockKey key, int engine, long nowNanos) {
        checkEngine(engine);
        long fingerprint = fingerprint(key);
        for (int row = homeRow(fingerprint); stateAt(row) != 0; row = nextRow(row)) {
            if (fingerprintAt(row) == fingerprint && engineAt(row) == engine) {
                boolean live = isCurrentEpoch(row);
                long age = ageUnits(row, nowNanos) << TIME_SHIFT;
                deleteRow(row);
                return live ? age : -1;
            }
        }
        return -1;
    }

    /** Removes all blocks of the engine. */
    public void clear(int engine) {
        checkEngine(engine);
        ensureEngineCapacity(engine);
        mEpochs[engine]++;
        if (mEpochs[engine] > EPOCH_MASK) {
            mEpochs[engine] = 0;
            removeRowsOf(engine);
        }
    }

    /** Sets the time since the last confirmation after which an engine's pairs are ignored. */
    public void setAgeLimit(int engine, long maxAgeNanos) {
        checkEngine(engine);
        checkArgument(maxAgeNanos > 0, "maxAgeNanos is not positive: %s", maxAgeNanos);
        ensureEngineCapacity(engine);
        mAgeLimits[engine] = Math.min(maxAgeNanos >> TIME_SHIFT, NO_AGE_LIMIT);
    }

    /**
     * Finds how many leading blocks of a prompt each engine is expected to hold.
     *
     * @param keys the keys of the prompt's blocks, in order
     * @param result receives the matches and loses its earlier content
     */
    public void match(List<BlockKey> keys, long nowNanos, PrefixMatch result) {
        checkNotNull(result, "result").reset(mEpochs.length);
        for (int depth = 0; depth < keys.size(); depth++) {
            long fingerprint = fingerprint(keys.get(depth));
            boolean extended = false;
            for (int row = homeRow(fingerprint); stateAt(row) != 0; row = nextRow(row)) {
                if (fingerprintAt(row) == fingerprint && isLive(row, nowNanos)) {
                    extended |= result.extend(engineAt(row), depth);
                }
            }
            if (!extended) {
                return;
            }
        }
    }

    /** Returns the number of rows in use, including outdated ones that are not yet reclaimed. */
    public int usedRows() {
        return mUsedRows;
    }

    /** Returns the size of the index in memory, in bytes, without object headers. */
    public long memoryBytes() {
        return (long) Long.BYTES * (mRows.length + mAgeLimits.length)
                + (long) Integer.BYTES * mEpochs.length;
    }

    private static void checkEngine(int engine) {
        checkArgument(
                engine >= 0 && engine <= MAX_ENGINE_NUMBER,
                "engine number is out of range: %s",
                engine);
    }

    private void ensureEngineCapacity(int engine) {
        if (engine < mEpochs.length) {
            return;
        }
        int oldSize = mEpochs.length;
        int size = Math.max(engine + 1, oldSize * 2);
        mEpochs = Arrays.copyOf(mEpochs, size);
        mAgeLimits = Arrays.copyOf(mAgeLimits, size);
        Arrays.fill(mAgeLimits, oldSize, size, NO_AGE_LIMIT);
    }

    private static long fingerprint(BlockKey key) {
        return key.high() ^ Long.rotateLeft(key.low(), 32);
    }

    /** Packs a row's state; the engine number is stored plus 1, so that 0 marks an unused row. */
    private long packState(int engine, long nowNanos) {
        return ((long) (engine + 1) << ENGINE_SHIFT)
                | ((long) mEpochs[engine] << EPOCH_SHIFT)
                | ((nowNanos >>> TIME_SHIFT) & TIME_MASK);
    }

    private int rowCount() {
        return mRows.length / WORDS_PER_ROW;
    }

    private int homeRow(long fingerprint) {
        return (int) ((fingerprint * HASH_MULTIPLIER) >>> 33) & (rowCount() - 1);
    }

    private int nextRow(int row) {
        return (row + 1) & (rowCount() - 1);
    }

    private long fingerprintAt(int row) {
        return mRows[row * WORDS_PER_ROW];
    }

    private long stateAt(int row) {
        return mRows[row * WORDS_PER_ROW + 1];
    }

    private int engineAt(int row) {
        return (int) (stateAt(row) >>> ENGINE_SHIFT) - 1;
    }

    private void writeRow(int row, long fingerprint, long state) {
        mRows[row * WORDS_PER_ROW] = fingerprint;
        mRows[row * WORDS_PER_ROW + 1] = state;
    }

    private boolean isCurrentEpoch(int row) {
        return ((stateAt(row) >>> EPOCH_SHIFT) & EPOCH_MASK) == mEpochs[engineAt(row)];
    }

    private long ageUnits(int row, long nowNanos) {
        return ((nowNanos >>> TIME_SHIFT) - stateAt(row)) & TIME_MASK;
    }

    private boolean isLive(int row, long nowNanos) {
        return isCurrentEpoch(row) && ageUnits(row, nowNanos) <= mAgeLimits[engineAt(row)];
    }

    /** Deletes a row and moves later rows of its run back, so that no probe ends at the gap. */
    private void deleteRow(int row) {
        int gap = row;
        for (int later = nextRow(row); stateAt(later) != 0; later = nextRow(later)) {
            int homeDistance = (later - homeRow(fingerprintAt(later))) & (rowCount() - 1);
            int gapDistance = (later - gap) & (rowCount() - 1);
            if (homeDistance >= gapDistance) {
                writeRow(gap, fingerprintAt(later), stateAt(later));
                gap = later;
            }
        }
        writeRow(gap, 0, 0);
        mUsedRows--;
    }

    private void rehash(long nowNanos) {
        int live = 0;
        for (int row = 0; row < rowCount(); row++) {
            if (stateAt(row) != 0 && isLive(row, nowNanos)) {
                live++;
            }
        }
        boolean grow = live * 100L > (long) rowCount() * GROW_LOAD_PERCENT;
        long[] oldRows = mRows;
        mRows = new long[grow ? Math.multiplyExact(oldRows.length, 2) : oldRows.length];
        mUsedRows = 0;
        for (int i = 0; i < oldRows.length; i += WORDS_PER_ROW) {
            reinsertIfLive(oldRows[i], oldRows[i + 1], nowNanos);
        }
    }

    private void reinsertIfLive(long fingerprint, long state, long nowNanos) {
        if (state == 0) {
            return;
        }
        int row = homeRow(fingerprint);
        while (stateAt(row) != 0) {
            row = nextRow(row);
        }
        writeRow(row, fingerprint, state);
        if (isLive(row, nowNanos)) {
            mUsedRows++;
        } else {
            writeRow(row, 0, 0);
        }
    }

    private void removeRowsOf(int engine) {
        long[] oldRows = mRows;
        mRows = new long[oldRows.length];
        mUsedRows = 0;
        for (int i = 0; i < oldRows.length; i += WORDS_PER_ROW) {
            boolean ofEngine = (int) (oldRows[i + 1] >>> ENGINE_SHIFT) - 1 == engine;
            if (oldRows[i + 1] != 0 && !ofEngine) {
                reinsertAlways(oldRows[i], oldRows[i + 1]);
            }
        }
    }

    private void reinsertAlways(long fingerprint, long state) {
        int row = homeRow(fingerprint);
        while (stateAt(row) != 0) {
            row = nextRow(row);
        }
        writeRow(row, fingerprint, state);
        mUsedRows++;
    }
}
