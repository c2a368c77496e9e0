package org.catkinproxy.bench;

import org.HdrHistogram.Histogram;
import org.catkinproxy.config.Priority;

/**
 * What was measured of the calls first sent within one span of virtual time.
 *
 * <p>A call that never got a first token in time counts with the time after which its caller gave
 * up, so that refusing does not make the tail look better. Owned by the event loop.
 */
final class Tally {
    private static final long HIGHEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final Histogram mAll = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram mAlarms = new Histogram(HIGHEST_MICROS, DIGITS);
    private final long[] mSent = new long[Deployment.WORKSPACE_SHARES.length];
    private final long[] mInTime = new long[Deployment.WORKSPACE_SHARES.length];
    private long mPromptTokens;
    private long mHitTokens;
    private long mWastedTokens;

    void sent(Call call) {
        mSent[call.workspace()]++;
    }

    /** Counts a call as over: answered in time, or given up. */
    void over(Call call, long nowNanos, boolean inTime) {
        long micros = Math.min(HIGHEST_MICROS, (nowNanos - call.sentNanos()) / NANOS_PER_MICRO);
        mAll.recordValue(micros);
        if (call.priority() == Priority.ALARM) {
            mAlarms.recordValue(micros);
        }
        if (inTime) {
            mInTime[call.workspace()]++;
        }
    }

    /** Counts an attempt that an engine began to compute. */
    void computed(long promptTokens, long hitTokens, long wastedTokens) {
        mPromptTokens += promptTokens;
        mHitTokens += hitTokens;
        mWastedTokens += wastedTokens;
    }

    double hitRate() {
        return ratio(mHitTokens, mPromptTokens);
    }

    /** Returns the share of prompt tokens that were computed though a fit engine held them. */
    double wastedShare() {
        return ratio(mWastedTokens, mPromptTokens);
    }

    double inTimeShare() {
        return ratio(sum(mInTime), sum(mSent));
    }

    long inTimeCount() {
        return sum(mInTime);
    }

    long sentBy(int workspace) {
        return mSent[workspace];
    }

    long inTimeOf(int workspace) {
        return mInTime[workspace];
    }

    double firstTokenMillis(double percentile) {
        return mAll.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    double alarmMillis(double percentile) {
        return mAlarms.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }

    private static long sum(long[] counts) {
        long sum = 0;
        for (long count : counts) {
            sum += count;
        }
        return sum;
    }
}
