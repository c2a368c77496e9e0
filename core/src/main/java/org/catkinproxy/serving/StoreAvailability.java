package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether an entry that is missing from the platform's store may have expired in an outage
 * of the store, from this instance's own calls and the reports of its peers.
 *
 * <p>While the store is unavailable, entries expire although their processes run; those are listed
 * again soon after its end. A failure that only this instance sees is no such outage if it is short
 * or if the store has answered peers all the while: what is missing after it was removed. An
 * instance whose open poll spans an outage does not notice it, so peers report theirs. A peer that
 * cannot reach the store may be the only one, though. It is in doubt until the store has answered a
 * check, which is a call that this instance makes after the report; as long as the store answers
 * checks regularly, reports of peers change nothing. Times are in nanoseconds of the owner's
 * monotonic clock. Not thread-safe.
 */
final class StoreAvailability {
    /** Interval of the calls that check the store while peers report an outage. */
    private static final long CHECK_INTERVAL_NANOS = 2_500_000_000L;

    /** No entry expires in a shorter outage. */
    private static final long MIN_OUTAGE_NANOS = 3_000_000_000L;

    /** Time for which an answered check holds. */
    private static final long CHECK_LIFETIME_NANOS = MIN_OUTAGE_NANOS;

    private final long mOutageGraceNanos;
    private final long mPeerOutageGraceNanos;
    private boolean mAvailable;
    private boolean mHadOutage;
    private boolean mHasAnswer;
    private long mAnsweredAt;
    private long mFailedAt;

    /** When the last call that failed was started. */
    private long mLastAttemptAt;

    /** When the store last answered a peer, and since when without a gap as long as an outage. */
    private long mPeerAnsweredAt;

    private long mPeerAnsweredSince;
    private boolean mHasPeerAnswer;

    /** Whether a peer has reported the current outage too. */
    private boolean mReportedByPeer;

    /** Whether the store answered a check shortly before the outage, in spite of any reports. */
    private boolean mCheckedBeforeOutage;

    private boolean mInGrace;
    private long mGraceEndsAt;

    /** Whether a peer reported an outage, and the store has not answered since. */
    private boolean mInDoubt;

    private boolean mCheckPending;
    private boolean mCheckFailed;
    private boolean mChecked;
    private long mCheckedAt;

    /**
     * Creates the state of an instance that has not called the store yet.
     *
     * @param outageGrace how long entries may be missing after an outage
     * @param peerOutageGrace how long they may be missing after the store has answered this
     *     instance while a peer could not reach it, or has failed to answer this instance alone
     */
    StoreAvailability(Duration outageGrace, Duration peerOutageGrace) {
        checkArgument(!outageGrace.isNegative(), "negative grace period: %s", outageGrace);
        checkArgument(!peerOutageGrace.isNegative(), "negative grace period: %s", peerOutageGrace);
        mOutageGraceNanos = outageGrace.toNanos();
        mPeerOutageGraceNanos = peerOutageGrace.toNanos();
    }

    /** Records that the store has answered a call of this instance. */
    void onAvailable(long now) {
        if (!mAvailable && mHadOutage) {
            boolean isOutage = isOutageOfStore(now) && !hasAnsweredPeersThroughout(now);
            startGrace(isOutage ? endOfOutageGrace(now) : mFailedAt + mPeerOutageGraceNanos);
            mCheckFailed = false;
        }
        mAvailable = true;
        mHasAnswer = true;
        mAnsweredAt = now;
        mReportedByPeer = false;
    }

    /** Returns whether the outage that ends now concerns the store, and not this instance alone. */
    private boolean isOutageOfStore(long now) {
        boolean mayHaveBegunEarlier = now - mAnsweredAt >= MIN_OUTAGE_NANOS;
        return now - mFailedAt >= MIN_OUTAGE_NANOS
                || (mayHaveBegunEarlier && (mCheckFailed || mReportedByPeer));
    }

    /**
     * Returns whether the store has answered one peer or another since it last answered this
     * instance, without a gap in which entries could have expired.
     */
    private boolean hasAnsweredPeersThroughout(long now) {
        return mHasPeerAnswer
                && mPeerAnsweredSince - mAnsweredAt < MIN_OUTAGE_NANOS
                && now - mPeerAnsweredAt < MIN_OUTAGE_NANOS;
    }

    /** Records that the store has answered a peer at {@code answeredAt}. */
    void onPeerAnswered(long answeredAt) {
        if (mHasPeerAnswer && answeredAt - mPeerAnsweredAt <= 0) {
            return;
        }
        if (!mHasPeerAnswer || answeredAt - mPeerAnsweredAt >= MIN_OUTAGE_NANOS) {
            mPeerAnsweredSince = answeredAt;
        }
        mPeerAnsweredAt = answeredAt;
        mHasPeerAnswer = true;
    }

    /** Returns when the store last answered this instance, empty if it has not yet. */
    OptionalLong answeredAt() {
        return mHasAnswer ? OptionalLong.of(mAnsweredAt) : OptionalLong.empty();
    }

    /** Records that the store came back from a copy, which may lack entries of live processes. */
    void onRestored(long now) {
        startGrace(endOfOutageGrace(now));
    }

    /** Returns when the grace after an outage ends that is over at {@code now}. */
    private long endOfOutageGrace(long now) {
        long endsAt = now + mOutageGraceNanos;
        if (mAvailable || !mHadOutage) {
            return endsAt;
        }
        if (now - mLastAttemptAt > StorePolling.MAX_ATTEMPT_TIME.toNanos()) {
            // This process was held up, and does not know when the store returned.
            return Math.min(endsAt, now + StorePolling.RELISTING_TIME.toNanos());
        }
        long latestAt = mLastAttemptAt + StorePolling.MAX_RETENTION_AFTER_ATTEMPT.toNanos();
        return Math.min(endsAt, latestAt);
    }

    /** Records that the store has answered a check. */
    void onChecked(long now) {
        mCheckPending = false;
        mChecked = true;
        mCheckedAt = now;
        mAnsweredAt = now;
        if (mInDoubt) {
            mInDoubt = false;
            startGrace(now + (mCheckFailed ? mOutageGraceNanos : mPeerOutageGraceNanos));
        }
        mCheckFailed = false;
    }

    /** Records that the store did not answer a check, so that it may have an outage. */
    void onCheckFailed() {
        mCheckPending = false;
        mChecked = false;
        mCheckFailed = true;
    }

    private void startGrace(long endsAt) {
        mGraceEndsAt = mInGrace && mGraceEndsAt - endsAt > 0 ? mGraceEndsAt : endsAt;
        mInGrace = true;
    }

    /**
     * Records that the store did not answer a call of this instance.
     *
     * @param attemptedAt when the call was started; the store may have returned since
     */
    void onUnavailable(long now, long attemptedAt) {
        if (mAvailable || !mHadOutage) {
            mFailedAt = now;
            mCheckedBeforeOutage = isCheckValid(now);
        }
        mLastAttemptAt = attemptedAt;
        mAvailable = false;
        mHadOutage = true;
        mInDoubt = false;
        mChecked = false;
    }

    /**
     * Records that a peer reported that the store does not answer it.
     *
     * @return whether this instance should check the store now, and report the result with {@link
     *     #onChecked} or {@link #onCheckFailed}
     */
    boolean onPeerOutage(long now) {
        if (!mAvailable) {
            mReportedByPeer |= !mCheckedBeforeOutage;
            return false;
        }
        mInDoubt |= !isCheckValid(now);
        boolean isCheckDue = !mChecked || now - mCheckedAt >= CHECK_INTERVAL_NANOS;
        if (mCheckPending || !isCheckDue) {
            return false;
        }
        mCheckPending = true;
        return true;
    }

    private boolean isCheckValid(long now) {
        return mChecked && now - mCheckedAt < CHECK_LIFETIME_NANOS;
    }

    /**
     * Returns whether this instance should repeat a check that failed, whether or not peers still
     * report an outage, and report the result. Must be called regularly.
     */
    boolean startRepeatedCheck() {
        if (!mAvailable || !mInDoubt || mCheckPending) {
            return false;
        }
        mCheckPending = true;
        return true;
    }

    /** Returns whether an entry that is missing at {@code now} may have expired in an outage. */
    boolean mayHaveExpired(long now) {
        return !mAvailable || mInDoubt || (mInGrace && mGraceEndsAt - now > 0);
    }
}
