package org.catkinproxy.limit;

import java.util.OptionalLong;

/**
 * Counts the requests that may be sent at a rate, of which some may be saved.
 *
 * <p>A bucket starts empty, so that a restart does not renew what was used before. Not thread-safe.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private LimitShare mShare = LimitShare.NONE;
    private double mTokens;
    private long mRefilledAt;

    TokenBucket(long now) {
        mRefilledAt = now;
    }

    /** Sets the rate and the size; tokens that do not fit any more are lost. */
    void setShare(LimitShare share, long now) {
        refill(now);
        mShare = share;
        mTokens = Math.min(mTokens, share.burst());
    }

    boolean hasToken(long now) {
        refill(now);
        return mTokens >= 1;
    }

    boolean isFull(long now) {
        refill(now);
        return mTokens >= 1 && mTokens >= mShare.burst();
    }

    /** Takes a token; if there is none, the bucket owes it. */
    void take(long now) {
        refill(now);
        mTokens -= 1;
    }

    /** Returns the time until there is a token, in ns, empty if there will be none. */
    OptionalLong nanosUntilToken(long now) {
        if (mShare.perSecond() <= 0) {
            return OptionalLong.empty();
        }
        refill(now);
        double missing = Math.max(0, 1 - mTokens);
        return OptionalLong.of((long) (missing / mShare.perSecond() * NANOS_PER_SECOND));
    }

    private void refill(long now) {
        double added = mShare.perSecond() * (now - mRefilledAt) / NANOS_PER_SECOND;
        mTokens = Math.min(mShare.burst(), mTokens + added);
        mRefilledAt = now;
    }
}
