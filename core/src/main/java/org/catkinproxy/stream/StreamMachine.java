package org.catkinproxy.stream;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Carries one answer from engines to its caller over as many connections as it takes.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Tokens are delivered with sequence numbers 1, 2, 3 and so on, each once.
 *   <li>{@link StreamAction.Complete} comes only after an end event whose count equals the number
 *       of tokens delivered, and it or {@link StreamAction.Fail} comes at most once, last.
 *   <li>Only tokens of the request's own id, and from its own weights, are delivered.
 *   <li>A connection that sent anything unexpected is never read again; the answer goes on over a
 *       new one, at the same engine if it may still have the generation, else at another.
 *   <li>An error says {@code NOT_RUN} only if no engine can have got the request.
 * </ul>
 *
 * <p>Not thread-safe: owned by the task of one request. Each event takes constant time, but for
 * continuing at another engine, which takes time linear in the tokens delivered.
 */
public final class StreamMachine {
    /** Connections that may fail in a row without a token before the answer is given up. */
    static final int MAX_FAILURES = 8;

    /** Connections that may fail in a row at one engine before another is asked. */
    static final int MAX_FAILURES_AT_ENGINE = 2;

    private final RequestId mRequest;
    private final Weights mWeights;
    private final int mPromptTokens;
    private final List<EngineId> mExcluded = new ArrayList<>();
    private final List<String> mTexts = new ArrayList<>();
    private final boolean mTextsKnown;
    private final List<StreamAction> mActions = new ArrayList<>();

    private long mDelivered;
    private int mAttempt;
    private int mFailures;
    private int mFailuresAtEngine;
    private boolean mStarted;
    private boolean mBegun;
    private boolean mReachedEngine;
    private boolean mOver;
    private Optional<EngineId> mEngine = Optional.empty();
    private Optional<Incarnation> mIncarnation = Optional.empty();

    private StreamMachine(RequestId request, Weights weights, int promptTokens, long delivered) {
        mRequest = checkNotNull(request, "request");
        mWeights = checkNotNull(weights, "weights");
        checkArgument(promptTokens >= 0, "promptTokens is negative: %s", promptTokens);
        mPromptTokens = promptTokens;
        mDelivered = delivered;
        mTextsKnown = delivered == 0;
    }

    /** Returns the machine of a new request; {@link #start} gives its first actions. */
    public static StreamMachine create(RequestId request, Weights weights, int promptTokens) {
        return new StreamMachine(request, weights, promptTokens, 0);
    }

    /**
     * Returns the machine of an answer that a caller takes up again at this router.
     *
     * @param delivered how many tokens the caller already has
     */
    public static StreamMachine resumed(
            RequestId request, Weights weights, int promptTokens, long delivered) {
        checkArgument(delivered >= 0, "delivered is negative: %s", delivered);
        return new StreamMachine(request, weights, promptTokens, delivered);
    }

    /** Returns the first actions of a new request. */
    public List<StreamAction> start() {
        return List.of(new StreamAction.Route(List.of()));
    }

    /** Returns the first actions of an answer that {@code engine} is believed to hold. */
    public List<StreamAction> startAt(EngineId engine, Incarnation incarnation) {
        mEngine = Optional.of(engine);
        mIncarnation = Optional.of(incarnation);
        mReachedEngine = true;
        mAttempt++;
        return List.of(new StreamAction.Resume(mAttempt, engine, mDelivered));
    }

    /** Takes one event and returns what follows from it, in order. */
    public List<StreamAction> handle(StreamEvent event) {
        if (mOver) {
            return List.of();
        }
        mActions.clear();
        if (event instanceof StreamEvent.Routed routed) {
            open(routed.engine());
        } else if (event instanceof StreamEvent.RouteRefused refused) {
            fail(refused.code(), Step.ROUTE, refused.code().meaning());
        } else if (event instanceof StreamEvent.Started started) {
            onStarted(started);
        } else if (event instanceof StreamEvent.Token token) {
            onToken(token);
        } else if (event instanceof StreamEvent.Heartbeat heartbeat) {
            onHeartbeat(heartbeat);
        } else if (event instanceof StreamEvent.Ended ended) {
            onEnded(ended);
        } else if (event instanceof StreamEvent.Failed failed) {
            onFailed(failed);
        } else if (event instanceof StreamEvent.CallerGone) {
            onCallerGone();
        }
        return List.copyOf(mActions);
    }

    /** Returns how many tokens the caller was given. */
    public long delivered() {
        return mDelivered;
    }

    private void open(EngineId engine) {
        mEngine = Optional.of(engine);
        mIncarnation = Optional.empty();
        mStarted = false;
        mBegun = false;
        mFailuresAtEngine = 0;
        mAttempt++;
        mActions.add(new StreamAction.Open(mAttempt, engine, List.copyOf(mTexts)));
    }

    private void onStarted(StreamEvent.Started started) {
        if (started.attempt() != mAttempt) {
            return;
        }
        mReachedEngine = true;
        if (!started.request().equals(mRequest)) {
            failConnection(ConnectionFailure.INVALID);
            return;
        }
        if (!started.weights().equals(mWeights)) {
            leaveEngine(ErrorCode.WRONG_WEIGHTS, true);
            return;
        }
        if (!isCacheUsePlausible(started.cachedTokens()) || isOtherIncarnation(started)) {
            leaveEngine(ErrorCode.STREAM_MISMATCH, true);
            return;
        }
        mStarted = true;
        mIncarnation = Optional.of(started.incarnation());
        if (!mBegun) {
            mBegun = true;
            mActions.add(
                    new StreamAction.Begin(
                            engine(), started.incarnation(), started.cachedTokens()));
        }
    }

    private boolean isCacheUsePlausible(int cachedTokens) {
        long prompt = (long) mPromptTokens + mDelivered;
        return cachedTokens >= 0 && cachedTokens <= prompt;
    }

    /** A generation can not outlive its engine's process, so a new one can not resume it. */
    private boolean isOtherIncarnation(StreamEvent.Started started) {
        return mIncarnation.isPresent() && !mIncarnation.get().equals(started.incarnation());
    }

    private void onToken(StreamEvent.Token token) {
        if (token.attempt() != mAttempt) {
            return;
        }
        boolean fits =
                mStarted && token.request().equals(mRequest) && token.sequence() == mDelivered + 1;
        if (!fits) {
            failConnection(ConnectionFailure.INVALID);
            return;
        }
        mDelivered++;
        mFailures = 0;
        mFailuresAtEngine = 0;
        if (mTextsKnown) {
            mTexts.add(token.text());
        }
        mActions.add(new StreamAction.Deliver(engine(), mDelivered, token.text()));
    }

    private void onHeartbeat(StreamEvent.Heartbeat heartbeat) {
        if (heartbeat.attempt() == mAttempt && !heartbeat.request().equals(mRequest)) {
            failConnection(ConnectionFailure.INVALID);
        }
    }

    private void onEnded(StreamEvent.Ended ended) {
        if (ended.attempt() != mAttempt) {
            return;
        }
        boolean whole = mStarted && ended.request().equals(mRequest) && ended.count() == mDelivered;
        if (!whole) {
            failConnection(ConnectionFailure.INVALID);
            return;
        }
        mOver = true;
        mActions.add(new StreamAction.Close(mAttempt));
        mActions.add(new StreamAction.Release(engine(), true, true));
        mActions.add(new StreamAction.Complete(mDelivered, ended.finish()));
    }

    private void onFailed(StreamEvent.Failed failed) {
        if (failed.attempt() == mAttempt) {
            failConnection(failed.failure());
        }
    }

    /** Gives up the connection and goes on over another, or ends the answer. */
    private void failConnection(ConnectionFailure failure) {
        mReachedEngine |= failure.reachedEngine();
        mFailures++;
        mFailuresAtEngine++;
        boolean retryHere =
                failure.isResumable()
                        && mFailuresAtEngine <= MAX_FAILURES_AT_ENGINE
                        && mFailures <= MAX_FAILURES;
        if (!retryHere) {
            leaveEngine(ErrorCode.STREAM_BROKEN, failure != ConnectionFailure.NOT_CONNECTED);
            return;
        }
        mActions.add(new StreamAction.Close(mAttempt));
        mAttempt++;
        mStarted = false;
        mActions.add(new StreamAction.Resume(mAttempt, engine(), mDelivered));
    }

    private void leaveEngine(ErrorCode reason, boolean reachable) {
        EngineId left = engine();
        mActions.add(new StreamAction.Close(mAttempt));
        mActions.add(new StreamAction.Release(left, false, reachable));
        if (reachable) {
            mActions.add(new StreamAction.Cancel(left));
        }
        mAttempt++;
        mStarted = false;
        mEngine = Optional.empty();
        mExcluded.add(left);
        if (!mTextsKnown) {
            fail(
                    ErrorCode.STREAM_BROKEN,
                    Step.RESUME,
                    "engine " + left + " lost the answer, and this router never had its beginning");
        } else if (mFailures > MAX_FAILURES) {
            fail(reason, Step.STREAM, "gave up after engine " + left);
        } else {
            mActions.add(new StreamAction.Route(List.copyOf(mExcluded)));
        }
    }

    private void onCallerGone() {
        mOver = true;
        mActions.add(new StreamAction.Close(mAttempt));
        mEngine.ifPresent(
                engine -> {
                    mActions.add(new StreamAction.Release(engine, false, true));
                    mActions.add(new StreamAction.Cancel(engine));
                });
    }

    private void fail(ErrorCode code, Step step, String message) {
        mOver = true;
        Outcome outcome = mDelivered > 0 ? Outcome.RAN : Outcome.UNKNOWN;
        if (!mReachedEngine) {
            outcome = Outcome.NOT_RUN;
        }
        String peer = mEngine.map(EngineId::value).orElse(CatkinException.NO_PEER);
        mActions.add(
                new StreamAction.Fail(
                        CatkinException.of(code, step, peer, outcome, message, null)));
    }

    private EngineId engine() {
        return mEngine.orElseThrow();
    }
}
