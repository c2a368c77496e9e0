package org.catkinproxy.call;

import org.catkinproxy.error.Outcome;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * One key, several routers, a table that loses and delays, and a service that naively counts.
 *
 * <p>A seeded generator picks which of the pending effects happens next. Nothing here knows how a
 * machine decides.
 */
final class CallWorld {
    /** Faults by which the checks are seen to be able to fail. */
    enum Mutant {
        NONE,
        /** Claims are overtaken as if they expired. */
        CLAIM_EXPIRES,
        /** A service that says "not up to now" is taken to mean "never". */
        NONE_RELEASES,
        /** A failed write of the claim is taken as one that took effect. */
        FAILED_CLAIM_SENDS,
        /** A lost answer is taken as a connection that was never established. */
        LOST_IS_UNSENT
    }

    private static final long HOUR_MILLIS = 3_600_000;
    private static final int INSTANCES = 2;

    private final Random mRandom;
    private final Mutant mMutant;
    private final List<Runnable> mPending = new ArrayList<>();
    private final Map<AttemptId, Integer> mRuns = new HashMap<>();
    private final Set<AttemptId> mToldNotRun = new HashSet<>();
    private final Set<AttemptId> mGivenReceipt = new HashSet<>();
    private final List<CallAnswer> mReplies = new ArrayList<>();
    private final Set<Attempt> mAttempts = new HashSet<>();
    private final double mFaultRate;

    private Optional<StoredCall> mRow = Optional.empty();
    private Optional<CallAnswer> mServiceAnswer = Optional.empty();
    private int mReplyCount;

    CallWorld(long seed, double faultRate, Mutant mutant) {
        mRandom = new Random(seed);
        mFaultRate = faultRate;
        mMutant = mutant;
    }

    /** Lets {@code attempts} attempts start, meet faults and run on for {@code steps} effects. */
    void play(int attempts, int steps) {
        int started = 0;
        for (int i = 0; i < steps; i++) {
            boolean start = started < attempts && (mPending.isEmpty() || mRandom.nextInt(8) == 0);
            if (start) {
                new Attempt("a" + started++).begin();
            } else if (!mPending.isEmpty()) {
                mPending.remove(mRandom.nextInt(mPending.size())).run();
            }
            if (mRandom.nextInt(50) == 0) {
                sweep();
            }
        }
    }

    /** Returns how often the service ran the call. */
    int runs() {
        return mRuns.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the attempts that ran although their callers were told that they had not. */
    Set<AttemptId> falselyNotRun() {
        Set<AttemptId> wrong = new HashSet<>(mToldNotRun);
        wrong.retainAll(mRuns.keySet());
        return wrong;
    }

    /** Returns every answer that a caller was given. */
    List<CallAnswer> replies() {
        return mReplies;
    }

    /** Returns the only answer that the service ever gave, if it ran. */
    Optional<CallAnswer> serviceAnswer() {
        return mServiceAnswer;
    }

    /** Returns the row as it stands. */
    Optional<StoredCall> row() {
        return mRow;
    }

    /** Tells whether some attempt spoke to its caller twice. */
    boolean repliedTwice() {
        return mAttempts.stream().anyMatch(a -> a.mSpoken > 1);
    }

    /** Returns how often any caller was told anything. */
    int replyCount() {
        return mReplyCount;
    }

    /** Records an open call from the service's account, as routers do now and then. */
    private void sweep() {
        mRow =
                mRow.filter(r -> r.record().state() == CallState.CLAIMED)
                        .flatMap(
                                r ->
                                        mServiceAnswer.map(
                                                a ->
                                                        new StoredCall(
                                                                r.version() + 1,
                                                                r.record().done(a))))
                        .or(() -> mRow);
    }

    private boolean fault() {
        return mRandom.nextDouble() < mFaultRate;
    }

    /** One router's attempt. */
    private final class Attempt {
        private final AttemptId mId;
        private final CallMachine mMachine;
        private boolean mCrashed;
        private int mSpoken;

        Attempt(String id) {
            mId = AttemptId.of(id);
            CallRecord claim =
                    CallRecord.claimed(
                            mId, InstanceId.of("r"), ServiceId.of("s"), "POST /x", "digest", 0);
            Optional<AttemptId> receipt =
                    mRandom.nextBoolean() ? mGivenReceipt.stream().findAny() : Optional.empty();
            mMachine =
                    CallMachine.of(new CallRequest(claim, INSTANCES, receipt, true, HOUR_MILLIS));
            mAttempts.add(this);
        }

        void begin() {
            mPending.add(() -> deliver(new CallEvent.DeadlinePassed()));
            if (fault()) {
                mPending.add(() -> mCrashed = true);
            }
            perform(mMachine.start());
        }

        private void deliver(CallEvent event) {
            if (!mCrashed) {
                perform(mMachine.handle(event));
            }
        }

        private void perform(List<CallAction> actions) {
            actions.forEach(this::perform);
        }

        private void perform(CallAction action) {
            if (action instanceof CallAction.ReadRow) {
                mPending.add(this::read);
            } else if (action instanceof CallAction.WriteRow write) {
                write(write);
            } else if (action instanceof CallAction.Send) {
                mPending.add(this::send);
            } else if (action instanceof CallAction.AskStatus) {
                mPending.add(this::askStatus);
            } else if (action instanceof CallAction.SetTimer) {
                mPending.add(() -> deliver(new CallEvent.TimerElapsed()));
            } else if (action instanceof CallAction.Reply reply) {
                mSpoken++;
                mReplyCount++;
                mReplies.add(reply.answer());
            } else if (action instanceof CallAction.Refuse refusal) {
                refused(refusal);
            }
        }

        private void refused(CallAction.Refuse refusal) {
            mSpoken++;
            mReplyCount++;
            if (refusal.outcome() == Outcome.NOT_RUN) {
                mToldNotRun.add(mId);
            }
            if (refusal.withReceipt()) {
                mGivenReceipt.add(mId);
            }
        }

        private void read() {
            if (fault()) {
                deliver(new CallEvent.ReadFailed());
                return;
            }
            boolean expired = mMutant == Mutant.CLAIM_EXPIRES && mRandom.nextInt(4) == 0;
            deliver(new CallEvent.RowRead(expired ? mRow.map(this::freed) : mRow));
        }

        private StoredCall freed(StoredCall row) {
            return row.record().state() == CallState.CLAIMED
                    ? new StoredCall(row.version(), row.record().released())
                    : row;
        }

        private void write(CallAction.WriteRow write) {
            if (!fault()) {
                mPending.add(() -> deliver(apply(write)));
                return;
            }
            mPending.add(
                    () ->
                            deliver(
                                    mMutant == Mutant.FAILED_CLAIM_SENDS
                                            ? new CallEvent.Written(write.expected() + 1)
                                            : new CallEvent.WriteFailed()));
            if (mRandom.nextBoolean()) {
                mPending.add(() -> apply(write));
            }
        }

        private CallEvent apply(CallAction.WriteRow write) {
            long version = mRow.map(StoredCall::version).orElse(StoredCall.ABSENT);
            if (version != write.expected()) {
                return new CallEvent.WriteConflict();
            }
            mRow = Optional.of(new StoredCall(version + 1, write.record()));
            return new CallEvent.Written(version + 1);
        }

        private void send() {
            if (mCrashed) {
                return;
            }
            if (fault()) {
                deliver(new CallEvent.NotConnected("refused"));
                return;
            }
            boolean lost = fault();
            mPending.add(() -> execute(lost));
            if (lost) {
                boolean unsent = mMutant == Mutant.LOST_IS_UNSENT;
                deliver(
                        unsent
                                ? new CallEvent.NotConnected("mutant")
                                : new CallEvent.AnswerLost("silence"));
            }
        }

        /** The service runs the call, perhaps long after its sender gave up or crashed. */
        private void execute(boolean lost) {
            mRuns.merge(mId, 1, Integer::sum);
            byte[] body = ("ran for " + mId).getBytes(StandardCharsets.UTF_8);
            CallAnswer answer = new CallAnswer(200, "text/plain", body);
            mServiceAnswer = Optional.of(answer);
            if (!lost) {
                mPending.add(() -> deliver(new CallEvent.Answered(answer)));
            }
        }

        private void askStatus() {
            if (mMutant == Mutant.NONE_RELEASES && mServiceAnswer.isEmpty()) {
                mRow = mRow.map(this::freed);
            }
            boolean silent = fault();
            deliver(new CallEvent.StatusKnown(silent ? Optional.empty() : mServiceAnswer));
        }
    }
}
