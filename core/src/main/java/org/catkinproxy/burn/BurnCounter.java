package org.catkinproxy.burn;

import org.HdrHistogram.Histogram;

/**
 * Counts requests into {@link BurnFigures}.
 *
 * <p>Not safe for use by several threads at the same time.
 */
public final class BurnCounter {
    /** Times above this are counted as this. */
    private static final long MAX_MILLIS = 600_000;

    private static final int DIGITS = 2;

    private final Histogram mFirstTokenMillis = newHistogram();
    private long mAnswered;
    private long mFailed;
    private long mPromptTokens;
    private long mCachedTokens;

    /** Counts a request that was answered whole. */
    public void addAnswered(long firstTokenMillis, long promptTokens, long cachedTokens) {
        mAnswered++;
        mPromptTokens += promptTokens;
        mCachedTokens += cachedTokens;
        mFirstTokenMillis.recordValue(Math.max(0, Math.min(firstTokenMillis, MAX_MILLIS)));
    }

    /** Counts a request that failed for a reason that was not the caller's. */
    public void addFailed() {
        mFailed++;
    }

    /** Adds all requests that {@code figures} count. */
    public void add(BurnFigures figures) {
        mAnswered += figures.answered();
        mFailed += figures.failed();
        mPromptTokens += figures.promptTokens();
        mCachedTokens += figures.cachedTokens();
        mFirstTokenMillis.add(figures.firstTokenHistogram());
    }

    /** Returns what was counted up to now. */
    public BurnFigures figures() {
        return new BurnFigures(
                mAnswered, mFailed, mPromptTokens, mCachedTokens, mFirstTokenMillis.copy());
    }

    /** Returns an empty histogram that starts small and grows with what is recorded. */
    static Histogram newHistogram() {
        return new Histogram(DIGITS);
    }
}
