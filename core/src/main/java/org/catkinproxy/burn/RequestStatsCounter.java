package org.catkinproxy.burn;

import org.HdrHistogram.Histogram;

/**
 * Collects {@link RequestStats} from the results of single requests.
 *
 * <p>Not thread-safe.
 */
public final class RequestStatsCounter {
    /** The highest time to first token that is recorded; higher times are recorded as this one. */
    private static final long MAX_FIRST_TOKEN_MILLIS = 600_000;

    private static final int SIGNIFICANT_DIGITS = 2;

    private final Histogram mFirstTokenHistogram = newHistogram();
    private long mAnswered;
    private long mFailed;
    private long mPromptTokens;
    private long mCachedTokens;

    /**
     * Adds a request that was answered completely.
     *
     * @param firstTokenMillis the time to first token, in milliseconds
     * @param promptTokens the number of prompt tokens
     * @param cachedTokens the number of prompt tokens that were served from a cache
     */
    public void addAnswered(long firstTokenMillis, long promptTokens, long cachedTokens) {
        mAnswered++;
        mPromptTokens += promptTokens;
        mCachedTokens += cachedTokens;
        mFirstTokenHistogram.recordValue(
                Math.max(0, Math.min(firstTokenMillis, MAX_FIRST_TOKEN_MILLIS)));
    }

    /** Adds a request that failed for a reason outside the caller's control. */
    public void addFailed() {
        mFailed++;
    }

    /** Adds all requests that {@code stats} includes. */
    public void add(RequestStats stats) {
        mAnswered += stats.answered();
        mFailed += stats.failed();
        mPromptTokens += stats.promptTokens();
        mCachedTokens += stats.cachedTokens();
        mFirstTokenHistogram.add(stats.firstTokenHistogram());
    }

    /** Returns a copy of the current statistics. */
    public RequestStats toStats() {
        return new RequestStats(
                mAnswered, mFailed, mPromptTokens, mCachedTokens, mFirstTokenHistogram.copy());
    }

    /** Returns an empty histogram whose range grows with the recorded values. */
    static Histogram newHistogram() {
        return new Histogram(SIGNIFICANT_DIGITS);
    }
}
