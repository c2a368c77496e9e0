package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.RetryPolicy;
import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.SharedRetryBudget;
import org.catkinproxy.serving.Upstream;

import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/**
 * What became of the attempts of one request, and which retries that and the budget allow.
 *
 * <p>A charge to the budget that was made before an attempt is given up counts for the retry that
 * follows. Used by the event loop only.
 */
final class AttemptHistory {
    private final Gateway mGateway;
    private final Route mRoute;
    private final SharedRetryBudget mBudget;
    private final Set<InstanceId> mTried = new HashSet<>();
    private final Set<UpstreamConnection> mConnections = new HashSet<>();
    private int mAttempts;
    private int mPossibleRuns;
    private int mRejections;
    private boolean mCharged;

    AttemptHistory(Gateway gateway, Route route, SharedRetryBudget budget) {
        mGateway = gateway;
        mRoute = route;
        mBudget = budget;
    }

    void recordAttempt() {
        mAttempts++;
    }

    void recordFailure(SendFailure failure) {
        if (failure == SendFailure.REJECTED) {
            mRejections++;
        }
        if (!failure.isNotRun()) {
            mPossibleRuns++;
        }
    }

    void recordConnection(UpstreamConnection connection) {
        mConnections.add(connection);
    }

    /**
     * Returns the connections that have carried the request, and must not carry it again: a late
     * copy of the response to the first send would be taken for the response to the second one.
     */
    Set<UpstreamConnection> connections() {
        return Collections.unmodifiableSet(mConnections);
    }

    /** Returns the number of attempts that were started. */
    int attempts() {
        return mAttempts;
    }

    /** Returns whether an upstream may have run the request in an attempt that has failed. */
    boolean mayHaveRun() {
        return mPossibleRuns > 0;
    }

    /** Returns the upstreams that must not get the request again. */
    Set<InstanceId> tried() {
        return Collections.unmodifiableSet(mTried);
    }

    void recordTried(Upstream upstream) {
        mTried.add(upstream.id());
    }

    /** Lets all upstreams get the request again. */
    void forgetTried() {
        mTried.clear();
    }

    /** Returns whether the request may run once more while an attempt is open. */
    boolean mayRunAgain() {
        return mRoute.isSafeToRetry() && mPossibleRuns + 1 < mRoute.maxAttempts();
    }

    /** Returns whether the request may be sent to another upstream, apart from the budget. */
    boolean mayRetry(SendFailure failure, long leftNanos) {
        return RetryPolicy.mayRetry(mRoute, failure, mPossibleRuns, mRejections, leftNanos);
    }

    /**
     * Returns whether the request may be sent to another upstream, and charges the retry. It is
     * free if nothing was sent to this one.
     */
    boolean tryRetry(SendFailure failure, long leftNanos) {
        return mayRetry(failure, leftNanos) && (!failure.isSent() || tryCharge());
    }

    /** Charges a retry to the budget, unless it has been charged in advance. */
    boolean tryCharge() {
        boolean charged = mCharged || chargeBudget();
        mCharged = false;
        return charged;
    }

    /** Charges the retry that follows if the open attempt is given up, if the budget allows it. */
    boolean tryChargeInAdvance() {
        mCharged = chargeBudget();
        return mCharged;
    }

    /** The same for an attempt whose upstream responded with an error, if a retry is allowed. */
    boolean tryChargeInAdvanceOfError(long leftNanos) {
        boolean mayRetry =
                RetryPolicy.mayRetry(
                        mRoute,
                        SendFailure.ERROR_ANSWER,
                        mPossibleRuns + 1,
                        mRejections,
                        leftNanos);
        return mayRetry && tryChargeInAdvance();
    }

    private boolean chargeBudget() {
        return mBudget.tryRetry(mGateway.now(), mGateway.instanceCount());
    }
}
