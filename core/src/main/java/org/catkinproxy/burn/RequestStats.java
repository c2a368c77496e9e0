package org.catkinproxy.burn;

import org.HdrHistogram.Histogram;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Base64;
import java.util.zip.DataFormatException;

/**
 * The statistics of a set of requests: outcomes, prompt tokens and times to first token.
 *
 * <p>The sum of the statistics of two disjoint sets of requests is the statistics of their union.
 * Immutable and thread-safe.
 */
public final class RequestStats {
    /** The statistics of no requests. */
    public static final RequestStats EMPTY = new RequestStatsCounter().toStats();

    private final long mAnswered;
    private final long mFailed;
    private final long mPromptTokens;
    private final long mCachedTokens;
    private final Histogram mFirstTokenHistogram;

    /** Does not copy the histogram, so the caller must not modify it afterwards. */
    RequestStats(
            long answered,
            long failed,
            long promptTokens,
            long cachedTokens,
            Histogram firstTokenHistogram) {
        mAnswered = answered;
        mFailed = failed;
        mPromptTokens = promptTokens;
        mCachedTokens = cachedTokens;
        mFirstTokenHistogram = firstTokenHistogram;
    }

    /**
     * Returns statistics with the given values.
     *
     * @param encodedFirstTokenHistogram the histogram of times to first token, encoded by {@link
     *     #encodedFirstTokenHistogram}
     * @throws IllegalArgumentException if the histogram cannot be decoded
     */
    public static RequestStats of(
            long answered,
            long failed,
            long promptTokens,
            long cachedTokens,
            String encodedFirstTokenHistogram) {
        return new RequestStats(
                answered, failed, promptTokens, cachedTokens, decode(encodedFirstTokenHistogram));
    }

    /** Returns the number of requests that were answered completely. */
    public long answered() {
        return mAnswered;
    }

    /** Returns the number of requests that failed for a reason outside the caller's control. */
    public long failed() {
        return mFailed;
    }

    /** Returns the number of prompt tokens of the answered requests. */
    public long promptTokens() {
        return mPromptTokens;
    }

    /** Returns the number of prompt tokens of the answered requests that came from a cache. */
    public long cachedTokens() {
        return mCachedTokens;
    }

    /**
     * Returns the number of answered requests whose first token took longer than {@code millis}.
     */
    public long firstTokensSlowerThan(int millis) {
        long total = mFirstTokenHistogram.getTotalCount();
        return total - mFirstTokenHistogram.getCountBetweenValues(0, millis);
    }

    /** Returns the number of recorded times to first token. */
    public long firstTokenCount() {
        return mFirstTokenHistogram.getTotalCount();
    }

    /** Returns the given percentile, 0 to 100, of the times to first token, in milliseconds. */
    public long firstTokenPercentileMillis(double percent) {
        return mFirstTokenHistogram.getValueAtPercentile(percent);
    }

    /** Returns the histogram of times to first token as a compressed HdrHistogram in Base64. */
    public String encodedFirstTokenHistogram() {
        ByteBuffer buffer = ByteBuffer.allocate(mFirstTokenHistogram.getNeededByteBufferCapacity());
        int length = mFirstTokenHistogram.copy().encodeIntoCompressedByteBuffer(buffer);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(buffer.array(), length));
    }

    /** Returns the statistics of the requests of this object and of {@code other} together. */
    public RequestStats plus(RequestStats other) {
        RequestStatsCounter sum = new RequestStatsCounter();
        sum.add(this);
        sum.add(other);
        return sum.toStats();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof RequestStats that
                && mAnswered == that.mAnswered
                && mFailed == that.mFailed
                && mPromptTokens == that.mPromptTokens
                && mCachedTokens == that.mCachedTokens
                && mFirstTokenHistogram.equals(that.mFirstTokenHistogram);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(new long[] {mAnswered, mFailed, mPromptTokens, mCachedTokens});
    }

    @Override
    public String toString() {
        return String.format(
                "RequestStats{answered=%d, failed=%d, promptTokens=%d, cachedTokens=%d}",
                mAnswered, mFailed, mPromptTokens, mCachedTokens);
    }

    Histogram firstTokenHistogram() {
        return mFirstTokenHistogram;
    }

    private static Histogram decode(String encoded) {
        ByteBuffer buffer = ByteBuffer.wrap(Base64.getDecoder().decode(encoded));
        try {
            Histogram histogram = RequestStatsCounter.newHistogram();
            histogram.add(Histogram.decodeFromCompressedByteBuffer(buffer, 0));
            return histogram;
        } catch (DataFormatException | RuntimeException e) {
            throw new IllegalArgumentException("histogram cannot be decoded", e);
        }
    }
}
