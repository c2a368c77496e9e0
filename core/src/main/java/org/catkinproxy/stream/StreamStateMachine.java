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
public final class StreamStateMachine {
    /** Connections that may fail in a row without a token before the answer is given up. */
    static final int MAX_CONSECUTIVE_FAILURES = 8;

    /** Connections that may fail in a row at one engine before another is asked. */
    static final int MAX_CONSECUTIVE_FAILURES_PER_ENGINE = 2;

    private final RequestId mRequest;
    private final Weights mWeights;
    private final int mPromptTokens;
    private final List<EngineId> mExcluded = new ArrayList<>();
    private final List<String> mDeliveredTokens = new ArrayList<>();
    private final boolean mHasAllTokens;
    private final List<StreamAction> mActions = new ArrayList<>();

    private long mDeliveredCount;
    private int mConnectionId;
    private int mConsecutiveFailures;
    private int mConsecutiveFailuresAtEngine;
    private boolean mConnectionStarted;
    private boolean mBeginSent;
    private boolean mMayHaveReachedEngine;
    private boolean mEnded;
    private Optional<EngineId> mEngine = Optional.empty();
    private Optional<Incarnation> mIncarnation = Optional.empty();

    private StreamStateMachine(
            RequestId request, Weights weights, int promptTokens, long delivered) {
        mRequest = checkNotNull(request, "request");
        mWeights = checkNotNull(weights, "weights");
        checkArgument(promptTokens >= 0, "promptTokens is negative: %s", promptTokens);
        mPromptTokens = promptTokens;
        mDeliveredCount = delivered;
        mHasAllTokens = delivered == 0;
    }

    /** Returns the machine of a new request; {@link #start} gives its first actions. */
    public static StreamStateMachine create(RequestId request, Weights weights, int promptTokens) {
        return new StreamStateMachine(request, weights, promptTokens, 0);
    }

    /**
     * Returns the machine of an answer that a caller takes up again at this router.
     *
     * @param delivered how many tokens the caller already has
     */
    public static StreamStateMachine createResumed(
            RequestId request, Weights weights, int promptTokens, long delivered) {
        checkArgument(delivered >= 0, "delivered is negative: %s", delivered);
        return new StreamStateMachine(request, weights, promptTokens, delivered);
    }

    /** Returns the first actions of a new request. */
    public List<StreamAction> start() {
        return List.of(new StreamAction.Route(List.of()));
    }

    /** Returns the first actions of an answer that {@code engine} is believed to hold. */
    public List<StreamAction> resumeAt(EngineId engine, Incarnation incarnation) {
        mEngine = Optional.of(engine);
        mIncarnation = Optional.of(incarnation);
        mMayHaveReachedEngine = true;
        mConnectionId++;
        return List.of(new StreamAction.Resume(mConnectionId, engine, mDeliveredCount));
    }

    /** Takes one event and returns what follows from it, in order. */
    public List<StreamAction> handle(StreamEvent event) {
        if (mEnded) {
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
        } else if (event instanceof StreamEvent.ConnectionFailed failed) {
            onConnectionFailed(failed);
        } else if (event instanceof StreamEvent.CallerDisconnected) {
            onCallerDisconnected();
        }
        return List.copyOf(mActions);
    }

    /** Returns how many tokens the caller was given. */
    public long deliveredCount() {
        return mDeliveredCount;
    }

    private void open(EngineId engine) {
        mEngine = Optional.of(engine);
        mIncarnation = Optional.empty();
        mConnectionStarted = false;
        mBeginSent = false;
        mConsecutiveFailuresAtEngine = 0;
        mConnectionId++;
        mActions.add(new StreamAction.Open(mConnectionId, engine, List.copyOf(mDeliveredTokens)));
    }

    private void onStarted(StreamEvent.Started started) {
        if (started.connectionId() != mConnectionId) {
            return;
        }
        mMayHaveReachedEngine = true;
        if (!started.request().equals(mRequest)) {
            replaceConnection(ConnectionFailure.INVALID);
            return;
        }
        if (!started.weights().equals(mWeights)) {
            abandonEngine(ErrorCode.WRONG_WEIGHTS, true);
            return;
        }
        if (!isCachedTokenCountPlausible(started.cachedTokens()) || isOtherIncarnation(started)) {
            abandonEngine(ErrorCode.STREAM_MISMATCH, true);
            return;
        }
        mConnectionStarted = true;
        mIncarnation = Optional.of(started.incarnation());
        if (!mBeginSent) {
            mBeginSent = true;
            mActions.add(
                    new StreamAction.Begin(
                            engine(), started.incarnation(), started.cachedTokens()));
        }
    }

    private boolean isCachedTokenCountPlausible(int cachedTokens) {
        long prompt = (long) mPromptTokens + mDeliveredCount;
        return cachedTokens >= 0 && cachedTokens <= prompt;
    }

    /** A generation can not outlive its engine's process, so a new one can not resume it. */
    private boolean isOtherIncarnation(StreamEvent.Started started) {
        return mIncarnation.isPresent() && !mIncarnation.get().equals(started.incarnation());
    }

    private void onToken(StreamEvent.Token token) {
        if (token.connectionId() != mConnectionId) {
            return;
        }
        boolean fits =
                mConnectionStarted
                        && token.request().equals(mRequest)
                        && token.sequence() == mDeliveredCount + 1;
        if (!fits) {
            replaceConnection(ConnectionFailure.INVALID);
            return;
        }
        mDeliveredCount++;
        mConsecutiveFailures = 0;
        mConsecutiveFailuresAtEngine = 0;
        if (mHasAllTokens) {
            mDeliveredTokens.add(token.text());
        }
        mActions.add(new StreamAction.Deliver(engine(), mDeliveredCount, token.text()));
    }

    private void onHeartbeat(StreamEvent.Heartbeat heartbeat) {
        if (heartbeat.connectionId() == mConnectionId && !heartbeat.request().equals(mRequest)) {
            replaceConnection(ConnectionFailure.INVALID);
        }
    }

    private void onEnded(StreamEvent.Ended ended) {
        if (ended.connectionId() != mConnectionId) {
            return;
        }
        boolean whole =
                mConnectionStarted
                        && ended.request().equals(mRequest)
                        && ended.tokenCount() == mDeliveredCount;
        if (!whole) {
            replaceConnection(ConnectionFailure.INVALID);
            return;
        }
        mEnded = true;
        mActions.add(new StreamAction.Close(mConnectionId));
        mActions.add(new StreamAction.Release(engine(), true, true));
        mActions.add(new StreamAction.Complete(mDeliveredCount, ended.finishReason()));
    }

    private void onConnectionFailed(StreamEvent.ConnectionFailed failed) {
        if (failed.connectionId() == mConnectionId) {
            replaceConnection(failed.failure());
        }
    }

    /** Gives up the connection and goes on over another, or ends the answer. */
    private void replaceConnection(ConnectionFailure failure) {
        mMayHaveReachedEngine |= failure.mayHaveReachedEngine();
        mConsecutiveFailures++;
        mConsecutiveFailuresAtEngine++;
        boolean retryHere =
                failure.isResumable()
                        && mConsecutiveFailuresAtEngine <= MAX_CONSECUTIVE_FAILURES_PER_ENGINE
                        && mConsecutiveFailures <= MAX_CONSECUTIVE_FAILURES;
        if (!retryHere) {
            abandonEngine(ErrorCode.STREAM_BROKEN, failure != ConnectionFailure.NOT_CONNECTED);
            return;
        }
        mActions.add(new StreamAction.Close(mConnectionId));
        mConnectionId++;
        mConnectionStarted = false;
        mActions.add(new StreamAction.Resume(mConnectionId, engine(), mDeliveredCount));
    }

    private void abandonEngine(ErrorCode reason, boolean reachable) {
        EngineId left = engine();
        mActions.add(new StreamAction.Close(mConnectionId));
        mActions.add(new StreamAction.Release(left, false, reachable));
        if (reachable) {
            mActions.add(new StreamAction.Cancel(left));
        }
        mConnectionId++;
        mConnectionStarted = false;
        mEngine = Optional.empty();
        mExcluded.add(left);
        if (!mHasAllTokens) {
            fail(
                    ErrorCode.STREAM_BROKEN,
                    Step.RESUME,
                    "engine " + left + " lost the answer, and this router never had its beginning");
        } else if (mConsecutiveFailures > MAX_CONSECUTIVE_FAILURES) {
            fail(reason, Step.STREAM, "gave up after engine " + left);
        } else {
            mActions.add(new StreamAction.Route(List.copyOf(mExcluded)));
        }
    }

    private void onCallerDisconnected() {
        mEnded = true;
        mActions.add(new StreamAction.Close(mConnectionId));
        mEngine.ifPresent(
                engine -> {
                    mActions.add(new StreamAction.Release(engine, false, true));
                    mActions.add(new StreamAction.Cancel(engine));
                });
    }

    private void fail(ErrorCode code, Step step, String message) {
        mEnded = true;
        Outcome outcome = mDeliveredCount > 0 ? Outcome.RAN : Outcome.UNKNOWN;
        if (!mMayHaveReachedEngine) {
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
