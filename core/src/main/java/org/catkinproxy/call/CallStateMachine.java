package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import org.catkinproxy.call.CallAction.End;
import org.catkinproxy.call.CallAction.QueryStatus;
import org.catkinproxy.call.CallAction.ReadRow;
import org.catkinproxy.call.CallAction.Reply;
import org.catkinproxy.call.CallAction.ReplyError;
import org.catkinproxy.call.CallAction.ReportContradiction;
import org.catkinproxy.call.CallAction.Send;
import org.catkinproxy.call.CallAction.SetTimer;
import org.catkinproxy.call.CallAction.WriteRow;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;

import java.util.List;
import java.util.Optional;

/**
 * State machine of one attempt at a call that must run at most once.
 *
 * <p>The attempt claims the call by a conditional write of its row, sends the request, returns the
 * response to the caller and records it in the row. Invariants:
 *
 * <ul>
 *   <li>The request is sent only while the row is known to hold this attempt's claim. It is sent to
 *       another instance of the service only if no connection to the previous one was established.
 *   <li>Another attempt's claim is taken over only if that attempt released it, or if a receipt
 *       certifies that the attempt never sent the request and never will. Claims do not expire.
 *   <li>An error with outcome {@code NOT_RUN} means that this attempt sent nothing and never will.
 *       Afterwards the attempt releases any claim that it may have left in the table.
 *   <li>The caller receives exactly one response or error.
 * </ul>
 *
 * <p>Not thread-safe; the owner passes in one event at a time.
 */
public final class CallStateMachine {
    /** The maximum delay between retries and polls while the caller is waiting. */
    private static final long MAX_POLL_DELAY_MILLIS = 1_000;

    /** The maximum delay between retries and polls after the caller got its response or error. */
    private static final long MAX_BACKGROUND_DELAY_MILLIS = 15_000;

    /** The number of status queries after the caller got an error; then the attempt ends. */
    private static final int MAX_BACKGROUND_STATUS_QUERIES = 20;

    private final CallAttemptSpec mSpec;
    private final Backoff mBackoff = new Backoff();
    private AttemptPhase mPhase = AttemptPhase.NEW;

    /** The content of the next or the last write of the row. */
    private CallRecord mRecord;

    /** The row version that the next or the last write expects. */
    private long mExpectedVersion = StoredCall.ABSENT_VERSION;

    /**
     * Whether an unconfirmed claim that expects {@link #mExpectedVersion} may still take effect.
     */
    private boolean mClaimMayTakeEffect;

    /** Whether the caller got its response or error. */
    private boolean mReplied;

    /** Whether the next poll reads the row instead of querying the service's status. */
    private boolean mPollRowNext;

    private int mInstanceIndex;
    private int mBackgroundStatusQueries;

    private CallStateMachine(CallAttemptSpec spec) {
        mSpec = checkNotNull(spec, "spec");
        mRecord = spec.claim();
    }

    /** Creates the state machine of a new attempt. */
    public static CallStateMachine create(CallAttemptSpec spec) {
        return new CallStateMachine(spec);
    }

    /**
     * Starts the attempt and returns the first actions.
     *
     * @throws IllegalStateException if the attempt was started before
     */
    public List<CallAction> start() {
        checkState(mPhase == AttemptPhase.NEW, "the attempt was already started");
        mPhase = AttemptPhase.CLAIMING;
        return mSpec.abandoned().isPresent() ? readRow() : writeClaim(StoredCall.ABSENT_VERSION);
    }

    /**
     * Handles one event and returns the actions to perform, in this order.
     *
     * @throws IllegalStateException if the attempt was not started
     */
    public List<CallAction> handle(CallEvent event) {
        checkState(mPhase != AttemptPhase.NEW, "the attempt was not started");
        if (mPhase == AttemptPhase.ENDED) {
            return List.of();
        }
        if (event instanceof CallEvent.DeadlinePassed) {
            return onDeadline();
        }
        if (event instanceof CallEvent.RowRead read) {
            return onRowRead(read.row());
        }
        if (event instanceof CallEvent.Written written) {
            return onWritten(written.version());
        }
        if (event instanceof CallEvent.WriteConflict) {
            return readRow();
        }
        if (event instanceof CallEvent.StatusReceived status) {
            return onStatusReceived(status.response());
        }
        if (event instanceof CallEvent.ResponseReceived received) {
            return replyAndRecord(received.response(), false);
        }
        if (event instanceof CallEvent.NotConnected failed) {
            return onNotConnected(failed.reason());
        }
        if (event instanceof CallEvent.ResponseLost) {
            return onResponseLost();
        }
        if (event instanceof CallEvent.TimerElapsed) {
            return onTimer();
        }
        return onStoreFailure(event instanceof CallEvent.ReadFailed);
    }

    private List<CallAction> onDeadline() {
        if (mReplied) {
            return List.of();
        }
        mReplied = true;
        mBackoff.reset();
        return switch (mPhase) {
            case CLAIMING ->
                    List.of(
                            new ReplyError(
                                    ErrorCode.STORE_UNAVAILABLE,
                                    Outcome.NOT_RUN,
                                    "claim timed out, nothing sent; earlier attempts unknown",
                                    true));
            case WAITING ->
                    List.of(
                            new ReplyError(
                                    ErrorCode.CALL_IN_PROGRESS,
                                    Outcome.UNKNOWN,
                                    "another attempt has claimed the call",
                                    false));
            default ->
                    List.of(
                            new ReplyError(
                                    ErrorCode.CALL_OUTCOME_UNKNOWN,
                                    Outcome.UNKNOWN,
                                    "the call was sent, but no response was received",
                                    false));
        };
    }

    private List<CallAction> onWritten(long version) {
        if (mPhase != AttemptPhase.CLAIMING) {
            return end();
        }
        return onClaimed(version);
    }

    /** Handles the confirmation that the row holds this attempt's claim; nothing was sent yet. */
    private List<CallAction> onClaimed(long version) {
        mClaimMayTakeEffect = false;
        mExpectedVersion = version;
        if (mReplied) {
            return release();
        }
        mPhase = AttemptPhase.SENDING;
        return send();
    }

    private List<CallAction> onRowRead(Optional<StoredCall> row) {
        return switch (mPhase) {
            case CLAIMING, WAITING -> mReplied ? onReadAfterReply(row) : onReadForClaim(row);
            case QUERYING_STATUS -> onReadDuringStatusQuery(row);
            case RECORDING -> onReadForRecord(row);
            case RELEASING -> onReadForRelease(row);
            default -> throw new IllegalStateException("unexpected row read in phase " + mPhase);
        };
    }

    private List<CallAction> onReadForClaim(Optional<StoredCall> row) {
        if (row.isEmpty()) {
            return writeClaim(StoredCall.ABSENT_VERSION);
        }
        StoredCall stored = row.get();
        CallRecord found = stored.record();
        mClaimMayTakeEffect &= stored.version() == mExpectedVersion;
        if (isOwnClaim(found)) {
            return onClaimed(stored.version());
        }
        if (isExpired(found)) {
            return replyErrorAndEnd(ErrorCode.IDEMPOTENCY_KEY_EXPIRED, found.outcome());
        }
        if (!found.digest().equals(mSpec.claim().digest())) {
            return replyErrorAndEnd(ErrorCode.IDEMPOTENCY_KEY_REUSED, Outcome.NOT_RUN);
        }
        if (isClaimable(found)) {
            mRecord = mSpec.claim().withCreatedMillis(found.createdMillis());
            return writeClaim(stored.version());
        }
        return found.state() == CallState.CLAIMED
                ? waitForOtherAttempt(stored)
                : replyFromRecord(found);
    }

    private boolean isClaimable(CallRecord found) {
        return found.state() == CallState.RELEASED
                || found.state() == CallState.CLAIMED
                        && mSpec.abandoned().filter(found.attempt()::equals).isPresent();
    }

    private boolean isOwnClaim(CallRecord found) {
        return found.state() == CallState.CLAIMED && found.attempt().equals(mSpec.attemptId());
    }

    private boolean isExpired(CallRecord found) {
        long age = mSpec.claim().createdMillis() - found.createdMillis();
        return age > mSpec.retentionMillis();
    }

    private List<CallAction> waitForOtherAttempt(StoredCall stored) {
        mPhase = AttemptPhase.WAITING;
        mExpectedVersion = stored.version();
        mRecord = stored.record();
        mPollRowNext = !mSpec.statusTrusted() || !mPollRowNext;
        return scheduleRetry();
    }

    private List<CallAction> replyFromRecord(CallRecord found) {
        if (found.state() == CallState.RESOLVED) {
            return replyErrorAndEnd(ErrorCode.CALL_RESOLVED, found.outcome());
        }
        mPhase = AttemptPhase.ENDED;
        return mReplied
                ? List.of(new End())
                : List.of(new Reply(found.response().get(), found.attempt(), true), new End());
    }

    private List<CallAction> onReadAfterReply(Optional<StoredCall> row) {
        if (mPhase == AttemptPhase.WAITING) {
            return end();
        }
        return onReadForRelease(row);
    }

    private List<CallAction> onReadForRelease(Optional<StoredCall> row) {
        long version = row.map(StoredCall::version).orElse(StoredCall.ABSENT_VERSION);
        boolean own = row.map(StoredCall::record).filter(this::isOwnClaim).isPresent();
        boolean mayTakeEffect = mClaimMayTakeEffect && version == mExpectedVersion;
        if (!own && !mayTakeEffect) {
            return end();
        }
        mExpectedVersion = version;
        return release();
    }

    private List<CallAction> onReadForRecord(Optional<StoredCall> row) {
        if (row.isEmpty()) {
            return scheduleRetry();
        }
        CallRecord found = row.get().record();
        if (found.state() == CallState.DONE) {
            return end();
        }
        if (found.state() == CallState.RESOLVED) {
            return found.resolution().get().ran() ? end() : reportContradiction(found);
        }
        mExpectedVersion = row.get().version();
        return writeRow();
    }

    private List<CallAction> reportContradiction(CallRecord found) {
        mPhase = AttemptPhase.ENDED;
        return List.of(new ReportContradiction(found.resolution().get()), new End());
    }

    private List<CallAction> onReadDuringStatusQuery(Optional<StoredCall> row) {
        Optional<CallRecord> finished = row.map(StoredCall::record).filter(CallRecord::isFinal);
        mPollRowNext = false;
        return finished.isPresent() ? replyFromRecord(finished.get()) : scheduleRetry();
    }

    private List<CallAction> onStatusReceived(Optional<CallResponse> response) {
        if (response.isPresent()) {
            boolean replayed = mPhase == AttemptPhase.WAITING;
            return replyAndRecord(response.get(), replayed);
        }
        if (mReplied && mPhase == AttemptPhase.WAITING) {
            return end();
        }
        mPollRowNext = true;
        return scheduleRetry();
    }

    private List<CallAction> replyAndRecord(CallResponse response, boolean replayed) {
        mPhase = AttemptPhase.RECORDING;
        mRecord = mRecord.done(response);
        mBackoff.reset();
        WriteRow write = new WriteRow(mExpectedVersion, mRecord);
        if (mReplied) {
            return List.of(write);
        }
        mReplied = true;
        return List.of(new Reply(response, mRecord.attempt(), replayed), write);
    }

    private List<CallAction> onNotConnected(String reason) {
        mInstanceIndex++;
        if (mReplied) {
            return release();
        }
        return mInstanceIndex < mSpec.instanceCount() ? send() : replyErrorAndRelease(reason);
    }

    private List<CallAction> replyErrorAndRelease(String reason) {
        mReplied = true;
        ReplyError error =
                new ReplyError(ErrorCode.SERVICE_UNREACHABLE, Outcome.NOT_RUN, reason, true);
        mPhase = AttemptPhase.RELEASING;
        mRecord = mRecord.released();
        return List.of(error, new WriteRow(mExpectedVersion, mRecord));
    }

    private List<CallAction> onResponseLost() {
        mPhase = AttemptPhase.QUERYING_STATUS;
        mBackoff.reset();
        if (mSpec.statusTrusted()) {
            return List.of(new QueryStatus());
        }
        return replyErrorAndEnd(ErrorCode.CALL_OUTCOME_UNKNOWN, Outcome.UNKNOWN);
    }

    private List<CallAction> onTimer() {
        return switch (mPhase) {
            case CLAIMING -> mReplied && !mClaimMayTakeEffect ? end() : readRow();
            case WAITING -> mReplied ? end() : readRowOrQueryStatus();
            case QUERYING_STATUS -> readRowOrQueryStatus();
            case RECORDING, RELEASING -> writeRow();
            default -> throw new IllegalStateException("unexpected timer event in phase " + mPhase);
        };
    }

    private List<CallAction> readRowOrQueryStatus() {
        if (mPollRowNext) {
            return readRow();
        }
        boolean exhausted = mReplied && ++mBackgroundStatusQueries > MAX_BACKGROUND_STATUS_QUERIES;
        return exhausted ? end() : List.of(new QueryStatus());
    }

    private List<CallAction> onStoreFailure(boolean readFailed) {
        boolean waiting = mPhase == AttemptPhase.CLAIMING || mPhase == AttemptPhase.WAITING;
        if (readFailed && waiting && mReplied && !mClaimMayTakeEffect) {
            return end();
        }
        mPollRowNext = !mSpec.statusTrusted();
        return scheduleRetry();
    }

    private List<CallAction> send() {
        checkState(!mReplied, "the call must not be sent after the caller got a response or error");
        if (mSpec.instanceCount() == 0) {
            return replyErrorAndRelease("no instance of the service is live");
        }
        return List.of(new Send(mInstanceIndex));
    }

    private List<CallAction> release() {
        mPhase = AttemptPhase.RELEASING;
        mRecord = mRecord.released();
        return writeRow();
    }

    private List<CallAction> replyErrorAndEnd(ErrorCode code, Outcome outcome) {
        mPhase = AttemptPhase.ENDED;
        if (mReplied) {
            return List.of(new End());
        }
        mReplied = true;
        return List.of(new ReplyError(code, outcome, code.meaning(), false), new End());
    }

    private List<CallAction> writeClaim(long expectedVersion) {
        mPhase = AttemptPhase.CLAIMING;
        if (mReplied) {
            return end();
        }
        mClaimMayTakeEffect = true;
        mExpectedVersion = expectedVersion;
        return writeRow();
    }

    private List<CallAction> writeRow() {
        return List.of(new WriteRow(mExpectedVersion, mRecord));
    }

    private List<CallAction> readRow() {
        return List.of(new ReadRow());
    }

    private List<CallAction> scheduleRetry() {
        long maxDelay = mReplied ? MAX_BACKGROUND_DELAY_MILLIS : MAX_POLL_DELAY_MILLIS;
        return List.of(new SetTimer(mBackoff.nextDelayMillis(maxDelay)));
    }

    private List<CallAction> end() {
        mPhase = AttemptPhase.ENDED;
        return List.of(new End());
    }
}
