package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import org.catkinproxy.call.CallAction.AskStatus;
import org.catkinproxy.call.CallAction.End;
import org.catkinproxy.call.CallAction.ReadRow;
import org.catkinproxy.call.CallAction.Refuse;
import org.catkinproxy.call.CallAction.Reply;
import org.catkinproxy.call.CallAction.ReportContradiction;
import org.catkinproxy.call.CallAction.Send;
import org.catkinproxy.call.CallAction.SetTimer;
import org.catkinproxy.call.CallAction.WriteRow;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;

import java.util.List;
import java.util.Optional;

/**
 * One attempt at a call that may run at most once.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The call is sent only while the row is known to name this attempt, and to another instance
 *       only after no connection to the one before was established.
 *   <li>A claim is taken over only if its attempt released it, or a receipt says that its attempt
 *       never sent and never will; time alone releases nothing.
 *   <li>A refusal with outcome {@code NOT_RUN} means that this attempt sent nothing and will not;
 *       what it may have left in the table it goes on to release.
 *   <li>The caller is told something exactly once.
 * </ul>
 *
 * <p>Not safe for use by several threads; the owner hands in one event at a time.
 */
public final class CallMachine {
    private static final long MAX_POLL_MILLIS = 1_000;
    private static final long MAX_BACKGROUND_MILLIS = 15_000;
    private static final int BACKGROUND_STATUS_QUERIES = 20;

    private final CallRequest mRequest;
    private final Backoff mBackoff = new Backoff();
    private CallPhase mPhase = CallPhase.NEW;

    /** What the next write puts into the row. */
    private CallRecord mRecord;

    /** The version at which the next or the last write expects the row. */
    private long mExpected = StoredCall.ABSENT;

    /** Whether a claim written at {@link #mExpected} may still take effect. */
    private boolean mClaimPending;

    private boolean mReplied;
    private boolean mReadNext;
    private int mInstance;
    private int mBackgroundQueries;

    private CallMachine(CallRequest request) {
        mRequest = checkNotNull(request, "request");
        mRecord = request.claim();
    }

    /** Makes the machine of a new attempt. */
    public static CallMachine of(CallRequest request) {
        return new CallMachine(request);
    }

    /** Begins the attempt. */
    public List<CallAction> start() {
        checkState(mPhase == CallPhase.NEW, "the attempt has begun");
        mPhase = CallPhase.CLAIMING;
        return mRequest.abandoned().isPresent() ? read() : writeClaim(StoredCall.ABSENT);
    }

    /** Takes one event and returns what is to be done, in this order. */
    public List<CallAction> handle(CallEvent event) {
        checkState(mPhase != CallPhase.NEW, "the attempt has not begun");
        if (mPhase == CallPhase.ENDED) {
            return List.of();
        }
        if (event instanceof CallEvent.DeadlinePassed) {
            return onDeadline();
        }
        if (event instanceof CallEvent.RowRead read) {
            return onRead(read.row());
        }
        if (event instanceof CallEvent.Written written) {
            return onWritten(written.version());
        }
        if (event instanceof CallEvent.WriteConflict) {
            return read();
        }
        if (event instanceof CallEvent.StatusKnown status) {
            return onStatus(status.answer());
        }
        if (event instanceof CallEvent.Answered answered) {
            return replyAndRecord(answered.answer(), false);
        }
        if (event instanceof CallEvent.NotConnected failed) {
            return onNotConnected(failed.reason());
        }
        if (event instanceof CallEvent.AnswerLost) {
            return onAnswerLost();
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
                            new Refuse(
                                    ErrorCode.STORE_UNAVAILABLE,
                                    Outcome.NOT_RUN,
                                    "not claimed in time, so not sent; earlier requests are not known",
                                    true));
            case WAITING ->
                    List.of(
                            new Refuse(
                                    ErrorCode.CALL_IN_PROGRESS,
                                    Outcome.UNKNOWN,
                                    "another attempt owns the call",
                                    false));
            default ->
                    List.of(
                            new Refuse(
                                    ErrorCode.CALL_OUTCOME_UNKNOWN,
                                    Outcome.UNKNOWN,
                                    "the call was sent, and no answer has come",
                                    false));
        };
    }

    private List<CallAction> onWritten(long version) {
        if (mPhase != CallPhase.CLAIMING) {
            return end();
        }
        return owned(version);
    }

    /** The row names this attempt, which has sent nothing yet. */
    private List<CallAction> owned(long version) {
        mClaimPending = false;
        mExpected = version;
        if (mReplied) {
            return release();
        }
        mPhase = CallPhase.SENDING;
        return send();
    }

    private List<CallAction> onRead(Optional<StoredCall> row) {
        return switch (mPhase) {
            case CLAIMING, WAITING -> mReplied ? onReadAbandoned(row) : onReadForClaim(row);
            case ASKING -> onReadWhileAsking(row);
            case RECORDING -> onReadForRecord(row);
            case RELEASING -> onReadForRelease(row);
            default -> throw new IllegalStateException("nothing was read in phase " + mPhase);
        };
    }

    private List<CallAction> onReadForClaim(Optional<StoredCall> row) {
        if (row.isEmpty()) {
            return writeClaim(StoredCall.ABSENT);
        }
        StoredCall stored = row.get();
        CallRecord found = stored.record();
        mClaimPending &= stored.version() == mExpected;
        if (isOwnClaim(found)) {
            return owned(stored.version());
        }
        if (isExpired(found)) {
            return refuse(ErrorCode.IDEMPOTENCY_KEY_EXPIRED, found.outcome());
        }
        if (!found.digest().equals(mRequest.claim().digest())) {
            return refuse(ErrorCode.IDEMPOTENCY_KEY_REUSED, Outcome.NOT_RUN);
        }
        if (isFree(found)) {
            mRecord = mRequest.claim().since(found.createdMillis());
            return writeClaim(stored.version());
        }
        return found.state() == CallState.CLAIMED ? waitForOther(stored) : replyFrom(found);
    }

    private boolean isFree(CallRecord found) {
        return found.state() == CallState.RELEASED
                || found.state() == CallState.CLAIMED
                        && mRequest.abandoned().filter(found.attempt()::equals).isPresent();
    }

    private boolean isOwnClaim(CallRecord found) {
        return found.state() == CallState.CLAIMED && found.attempt().equals(mRequest.attempt());
    }

    private boolean isExpired(CallRecord found) {
        long age = mRequest.claim().createdMillis() - found.createdMillis();
        return age > mRequest.retentionMillis();
    }

    private List<CallAction> waitForOther(StoredCall stored) {
        mPhase = CallPhase.WAITING;
        mExpected = stored.version();
        mRecord = stored.record();
        mReadNext = !mRequest.statusTrusted() || !mReadNext;
        return pause();
    }

    private List<CallAction> replyFrom(CallRecord found) {
        if (found.state() == CallState.RESOLVED) {
            return refuse(ErrorCode.CALL_RESOLVED, found.outcome());
        }
        mPhase = CallPhase.ENDED;
        return mReplied
                ? List.of(new End())
                : List.of(new Reply(found.answer().get(), found.attempt(), true), new End());
    }

    private List<CallAction> onReadAbandoned(Optional<StoredCall> row) {
        if (mPhase == CallPhase.WAITING) {
            return end();
        }
        return onReadForRelease(row);
    }

    private List<CallAction> onReadForRelease(Optional<StoredCall> row) {
        long version = row.map(StoredCall::version).orElse(StoredCall.ABSENT);
        boolean own = row.map(StoredCall::record).filter(this::isOwnClaim).isPresent();
        boolean mayLand = mClaimPending && version == mExpected;
        if (!own && !mayLand) {
            return end();
        }
        mExpected = version;
        return release();
    }

    private List<CallAction> onReadForRecord(Optional<StoredCall> row) {
        if (row.isEmpty()) {
            return pause();
        }
        CallRecord found = row.get().record();
        if (found.state() == CallState.DONE) {
            return end();
        }
        if (found.state() == CallState.RESOLVED) {
            return found.resolution().get().ran() ? end() : contradict(found);
        }
        mExpected = row.get().version();
        return write();
    }

    private List<CallAction> contradict(CallRecord found) {
        mPhase = CallPhase.ENDED;
        return List.of(new ReportContradiction(found.resolution().get()), new End());
    }

    private List<CallAction> onReadWhileAsking(Optional<StoredCall> row) {
        Optional<CallRecord> settled = row.map(StoredCall::record).filter(CallRecord::isSettled);
        mReadNext = false;
        return settled.isPresent() ? replyFrom(settled.get()) : pause();
    }

    private List<CallAction> onStatus(Optional<CallAnswer> answer) {
        if (answer.isPresent()) {
            boolean replayed = mPhase == CallPhase.WAITING;
            return replyAndRecord(answer.get(), replayed);
        }
        if (mReplied && mPhase == CallPhase.WAITING) {
            return end();
        }
        mReadNext = true;
        return pause();
    }

    private List<CallAction> replyAndRecord(CallAnswer answer, boolean replayed) {
        mPhase = CallPhase.RECORDING;
        mRecord = mRecord.done(answer);
        mBackoff.reset();
        WriteRow write = new WriteRow(mExpected, mRecord);
        if (mReplied) {
            return List.of(write);
        }
        mReplied = true;
        return List.of(new Reply(answer, mRecord.attempt(), replayed), write);
    }

    private List<CallAction> onNotConnected(String reason) {
        mInstance++;
        if (mReplied) {
            return release();
        }
        return mInstance < mRequest.instances() ? send() : refuseUnsent(reason);
    }

    private List<CallAction> refuseUnsent(String reason) {
        mReplied = true;
        Refuse refusal = new Refuse(ErrorCode.SERVICE_UNREACHABLE, Outcome.NOT_RUN, reason, true);
        mPhase = CallPhase.RELEASING;
        mRecord = mRecord.released();
        return List.of(refusal, new WriteRow(mExpected, mRecord));
    }

    private List<CallAction> onAnswerLost() {
        mPhase = CallPhase.ASKING;
        mBackoff.reset();
        if (mRequest.statusTrusted()) {
            return List.of(new AskStatus());
        }
        return refuse(ErrorCode.CALL_OUTCOME_UNKNOWN, Outcome.UNKNOWN);
    }

    private List<CallAction> onTimer() {
        return switch (mPhase) {
            case CLAIMING -> mReplied && !mClaimPending ? end() : read();
            case WAITING -> mReplied ? end() : readOrAsk();
            case ASKING -> readOrAsk();
            case RECORDING, RELEASING -> write();
            default -> throw new IllegalStateException("no timer was set in phase " + mPhase);
        };
    }

    private List<CallAction> readOrAsk() {
        if (mReadNext) {
            return read();
        }
        boolean last = mReplied && ++mBackgroundQueries > BACKGROUND_STATUS_QUERIES;
        return last ? end() : List.of(new AskStatus());
    }

    private List<CallAction> onStoreFailure(boolean reading) {
        boolean waiting = mPhase == CallPhase.CLAIMING || mPhase == CallPhase.WAITING;
        if (reading && waiting && mReplied && !mClaimPending) {
            return end();
        }
        mReadNext = !mRequest.statusTrusted();
        return pause();
    }

    private List<CallAction> send() {
        checkState(!mReplied, "the caller was told before the call was sent");
        if (mRequest.instances() == 0) {
            return refuseUnsent("no instance of the service is live");
        }
        return List.of(new Send(mInstance));
    }

    private List<CallAction> release() {
        mPhase = CallPhase.RELEASING;
        mRecord = mRecord.released();
        return write();
    }

    private List<CallAction> refuse(ErrorCode code, Outcome outcome) {
        mPhase = CallPhase.ENDED;
        if (mReplied) {
            return List.of(new End());
        }
        mReplied = true;
        return List.of(new Refuse(code, outcome, code.meaning(), false), new End());
    }

    private List<CallAction> writeClaim(long expected) {
        mPhase = CallPhase.CLAIMING;
        if (mReplied) {
            return end();
        }
        mClaimPending = true;
        mExpected = expected;
        return write();
    }

    private List<CallAction> write() {
        return List.of(new WriteRow(mExpected, mRecord));
    }

    private List<CallAction> read() {
        return List.of(new ReadRow());
    }

    private List<CallAction> pause() {
        long longest = mReplied ? MAX_BACKGROUND_MILLIS : MAX_POLL_MILLIS;
        return List.of(new SetTimer(mBackoff.nextMillis(longest)));
    }

    private List<CallAction> end() {
        mPhase = CallPhase.ENDED;
        return List.of(new End());
    }
}
