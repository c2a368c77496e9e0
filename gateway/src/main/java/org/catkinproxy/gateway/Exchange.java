package org.catkinproxy.gateway;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.serving.CallKind;
import org.catkinproxy.serving.EngineLimits;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.RetryRule;
import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.SharedRetryBudget;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamChooser;
import org.catkinproxy.serving.UpstreamLoad;
import org.catkinproxy.serving.WorkspaceAccess;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * One request of a caller, from its last byte to the end of its answer.
 *
 * <p>At most one send is open at any time: a send is given up before the next begins. A plain
 * answer is passed on once it is whole; a stream's events as they come, each once it is whole. Used
 * by the event loop only.
 */
final class Exchange {
    /** A plain answer up to this size is passed on whole; a longer one is refused. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** An upstream that rejects a request gets none for this long. */
    private static final long REJECTION_PAUSE_NANOS = 150_000_000L;

    /** An engine that is to change its weights rejects requests until it has. */
    private static final long CHANGE_PAUSE_NANOS = 1_200_000_000L;

    /** A stream without an event for this long is taken up elsewhere, if it may be. */
    private static final long SILENT_STREAM_NANOS = 1_100_000_000L;

    /** A stream that has not begun at an engine which answers others is left there this long. */
    private static final long QUEUED_NANOS = 2_300_000_000L;

    /** A plain request that may run again is sent elsewhere after this many goals. */
    private static final double SILENT_GOALS = 1.8;

    /** A rejected request that waits is placed again after this time. */
    private static final long WAIT_MILLIS = 120;

    private static final long LONGEST_WAIT_NANOS = 1_500_000_000L;

    /** A silent send that none may follow is looked at again after this time. */
    private static final long MORE_TIME_NANOS = 300_000_000L;

    /** Checks follow each other after this time at least. */
    private static final long LEAST_CHECK_NANOS = 10_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Scope of the prompts of all workspaces that are not isolated; no workspace has the name. */
    private static final String SHARED_SCOPE = "*";

    private final Gateway mGateway;
    private final FrontConnection mFront;
    private final CallHead mHead;
    private final HttpMethod mMethod;
    private final String mUri;
    private final HttpHeaders mHeaders;
    private final ByteBuf mBody;
    private final Route mRoute;
    private final Optional<WorkspaceAccess> mAccess;
    private final long mArrivedAt;
    private final long mDeadline;
    private final ServiceId mService;
    private final SharedRetryBudget mBudget;
    private final Set<InstanceId> mExcluded = new HashSet<>();
    private final EventSplitter mEvents;
    private final Optional<UpstreamChooser.PlacedPrompt> mPlaced;

    private OpenSend mSend;
    private int mSends;
    private int mRuns;
    private int mRejections;
    private boolean mRetryPaid;

    /** Whether the run's memory is copied as it grows: where a broken stream can't begin again. */
    private final boolean mBacksUp;

    private boolean mContinuesCopy;
    private boolean mStreaming;
    private boolean mDone;
    private boolean mCallerGone;
    private ScheduledFuture<?> mTimer;

    Exchange(
            Gateway gateway,
            FrontConnection front,
            CallHead head,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            ByteBuf body,
            Route route,
            Optional<WorkspaceAccess> access) {
        mGateway = gateway;
        mFront = front;
        mHead = head;
        mMethod = method;
        mUri = uri;
        mHeaders = headers;
        mBody = body;
        mRoute = route;
        mAccess = access;
        mEvents = new EventSplitter(gateway.dialect().versionEventField());
        mArrivedAt = gateway.now();
        mDeadline = mArrivedAt + limitNanos();
        mService = route.service(head.id().value().hashCode());
        mBudget = gateway.budget(mService);
        mPlaced = head.prompt().map(this::placed);
        mBacksUp = mPlaced.isPresent() && route.kind() == CallKind.STREAM && !route.mayRunAgain();
    }

    private long limitNanos() {
        long limit = mRoute.timeout().toNanos();
        if (mHead.budgetMillis().isPresent()) {
            limit = Math.min(limit, mHead.budgetMillis().getAsLong() * NANOS_PER_MILLI);
        }
        return limit;
    }

    private UpstreamChooser.PlacedPrompt placed(Prompt prompt) {
        String scope =
                mAccess.filter(WorkspaceAccess::isolated)
                        .map(a -> a.workspace().value())
                        .orElse(SHARED_SCOPE);
        double fetch =
                mGateway.engineLimits(mService).map(EngineLimits::fetchNanosPerToken).orElse(0.0);
        return new UpstreamChooser.PlacedPrompt(
                prompt, scope, mGateway.versions(), fetch, mGateway.keptPrompts(prompt));
    }

    /** Begins. */
    void start() {
        mGateway.opened(this);
        mBudget.requested(mArrivedAt);
        armTimer(mDeadline);
        place();
    }

    /** Notes that the caller closed its connection. */
    void callerGone() {
        if (mDone) {
            return;
        }
        mCallerGone = true;
        mGateway.log().record(GatewayEvent.CALLER_GONE, "request", mHead.id(), "sends", mSends);
        boolean letRun = mSend != null && mSend.mSent && !mRoute.kind().isCancelledWithCaller();
        if (!letRun) {
            finish("caller_gone");
        }
    }

    /** Goes on reading from the upstream when the caller's connection takes more. */
    void callerWritable(boolean writable) {
        if (mSend != null && mSend.mConnection != null) {
            mSend.mConnection.setReading(writable);
        }
    }

    private void place() {
        long now = mGateway.now();
        Optional<UpstreamChooser.Choice> choice = choose(now);
        if (choice.isEmpty()) {
            refuse(ErrorCode.NO_UPSTREAM, "no upstream takes requests");
            return;
        }
        mSend = new OpenSend(choice.get());
        mSend.start(now);
    }

    private Optional<UpstreamChooser.Choice> choose(long now) {
        Collection<UpstreamLoad> loads = mGateway.loads(mService);
        return mPlaced.isEmpty()
                ? mGateway.chooser().choosePlain(loads, mExcluded, now)
                : mGateway.chooser().chooseEngine(loads, mExcluded, mPlaced.get(), now);
    }

    private void onSendFailed(OpenSend send, SendFailure failure, String reason) {
        long now = mGateway.now();
        send.close();
        mSend = null;
        noteFailure(send, failure, now);
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_SEND_FAILED,
                        "request",
                        mHead.id(),
                        "upstream",
                        send.upstream().id(),
                        "failure",
                        failure,
                        "reason",
                        reason,
                        "after_ms",
                        millisSince(send.mStartedAt, now));
        if (mCallerGone) {
            finish("caller_gone");
            return;
        }
        Optional<UpstreamChooser.Choice> copy = copyToContinue(send, failure, now);
        if (copy.isPresent()) {
            mContinuesCopy = true;
            mEvents.restart();
            mGateway.log()
                    .record(
                            GatewayEvent.REQUEST_RESUMED,
                            "request",
                            mHead.id(),
                            "upstream",
                            copy.get().load().upstream().id(),
                            "after_event",
                            mEvents.lastId().orElse(0));
            mSend = new OpenSend(copy.get());
            mSend.start(now);
        } else if (mayPlaceAgain(failure, now)) {
            mExcluded.add(send.upstream().id());
            mEvents.restart();
            place();
        } else if (mStreaming) {
            mFront.abort();
            finish("broken");
        } else if (mayWait(failure, now)) {
            mExcluded.clear();
            mGateway.loop().schedule(this::placeAfterWait, WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } else if (failure.isNotRun() && mRuns == 0) {
            refuse(ErrorCode.NO_UPSTREAM, reason);
        } else {
            fail(ErrorCode.UPSTREAM_FAILED, reason);
        }
    }

    /**
     * Tells whether a rejected request waits here. Engines that change their weights reject for a
     * second or two, which may use up the retry budget; soon after, a place is free and the budget
     * has grown.
     */
    private boolean mayWait(SendFailure failure, long now) {
        long waited = now - mArrivedAt;
        return failure == SendFailure.REJECTED
                && mRuns == 0
                && mHead.prompt().isPresent()
                && waited < LONGEST_WAIT_NANOS
                && mDeadline - now > LONGEST_WAIT_NANOS;
    }

    private void placeAfterWait() {
        if (mDone) {
            return;
        }
        if (mBudget.tryRetry(mGateway.now(), mGateway.instances())) {
            place();
        } else if (mayWait(SendFailure.REJECTED, mGateway.now())) {
            mGateway.loop().schedule(this::placeAfterWait, WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            refuse(ErrorCode.NO_UPSTREAM, "rejected by engines, and no retry is left");
        }
    }

    /** Returns the engine that has a copy of a broken run's memory, if the run may go on there. */
    private Optional<UpstreamChooser.Choice> copyToContinue(
            OpenSend send, SendFailure failure, long now) {
        boolean asked = !mContinuesCopy && mBacksUp && send.mSent && !hasOtherWeights(send);
        if (!asked || !RetryRule.mayContinueCopy(mRoute, failure, mDeadline - now)) {
            return Optional.empty();
        }
        return send.mChoice
                .backup()
                .flatMap(b -> mGateway.load(b))
                .filter(l -> l.isFit(now) && l.version(mHead.prompt().get()) == send.mVersion)
                .filter(l -> payRetry(now))
                .map(UpstreamChooser.Choice::of);
    }

    /** A copy that was partly made on other weights must not be gone on from. */
    private boolean hasOtherWeights(OpenSend send) {
        int version = send.mChoice.load().version(mHead.prompt().orElseThrow());
        return mEvents.hasVersionChanged() || version != send.mVersion;
    }

    /** Nothing reached an upstream that could not be connected, which so costs no budget. */
    private boolean mayPlaceAgain(SendFailure failure, long now) {
        return RetryRule.mayPlaceAgain(mRoute, failure, mRuns, mRejections, mDeadline - now)
                && (failure == SendFailure.NOT_CONNECTED || payRetry(now));
    }

    /** Draws on the retry budget, unless that was done already for the next send. */
    private boolean payRetry(long now) {
        boolean paid = mRetryPaid || mBudget.tryRetry(now, mGateway.instances());
        mRetryPaid = false;
        return paid;
    }

    private void noteFailure(OpenSend send, SendFailure failure, long now) {
        UpstreamLoad load = send.mChoice.load();
        switch (failure) {
            case NOT_CONNECTED, SILENT -> {
                load.unreachable(now);
                mGateway.pool().forget(load.upstream());
                mGateway.log()
                        .record(
                                GatewayEvent.UPSTREAM_SUSPECT,
                                "upstream",
                                load.upstream().id(),
                                "failure",
                                failure);
            }
            case REJECTED -> {
                mRejections++;
                load.rejects(
                        now, changesWeights(load) ? CHANGE_PAUSE_NANOS : REJECTION_PAUSE_NANOS);
            }
            case BROKEN, GARBLED, ERROR_ANSWER -> load.answered(false, now);
            default -> throw new AssertionError(failure);
        }
        if (!failure.isNotRun()) {
            mRuns++;
        }
    }

    private boolean changesWeights(UpstreamLoad load) {
        return mHead.prompt()
                .filter(p -> load.version(p) < mGateway.versions().newest(p.model()))
                .isPresent();
    }

    private void armTimer(long at) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        long delay = Math.max(0, at - mGateway.now());
        mTimer = mGateway.loop().schedule(this::onTimer, delay, TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        long now = mGateway.now();
        if (mDone) {
            return;
        }
        if (mDeadline - now <= 0) {
            onDeadline();
            return;
        }
        if (mSend != null && mSend.isSilent(now)) {
            onSilent(mSend, now);
        }
        if (!mDone) {
            armTimer(Math.max(nextCheck(), now + LEAST_CHECK_NANOS));
        }
    }

    /** A send is given up for its silence only if another one may follow. */
    private void onSilent(OpenSend send, long now) {
        if (mBudget.tryRetry(now, mGateway.instances())) {
            mRetryPaid = true;
            onSendFailed(send, SendFailure.SILENT, "no answer");
        } else {
            send.giveTime(now);
        }
    }

    private long nextCheck() {
        if (mSend == null) {
            return mDeadline;
        }
        long silentAt = mSend.silentAt();
        return silentAt - mDeadline < 0 ? silentAt : mDeadline;
    }

    private void onDeadline() {
        if (mCallerGone) {
            finish("caller_gone");
        } else if (mStreaming) {
            mFront.abort();
            finish("timed_out");
        } else if (mSends == 0 || (mSend != null && !mSend.mSent && mRuns == 0)) {
            refuse(ErrorCode.DEADLINE_UNREACHABLE, "nothing was sent");
        } else {
            fail(ErrorCode.TIMED_OUT, "no whole answer");
        }
    }

    private void refuse(ErrorCode code, String reason) {
        long leftMillis = (mDeadline - mGateway.now()) / NANOS_PER_MILLI;
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_REFUSED,
                        "request",
                        mHead.id(),
                        "code",
                        code.wire(),
                        "reason",
                        reason,
                        "sends",
                        mSends,
                        "left_ms",
                        leftMillis,
                        "config",
                        mGateway.configVersion());
        mFront.refuse(code, mGateway.retryAfterMillis(leftMillis));
        finish("refused");
    }

    private void fail(ErrorCode code, String reason) {
        mFront.refuse(code, 0);
        finish(code.wire() + ": " + reason);
    }

    private void finish(String outcome) {
        if (mDone) {
            return;
        }
        mDone = true;
        mTimer.cancel(false);
        if (mSend != null) {
            mSend.close();
            mSend = null;
        }
        mEvents.restart();
        mBody.release();
        long now = mGateway.now();
        mGateway.metrics().ended(mRoute.kind(), outcome, now - mArrivedAt);
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_ENDED,
                        "request",
                        mHead.id(),
                        "route",
                        mRoute.name(),
                        "outcome",
                        outcome,
                        "sends",
                        mSends,
                        "took_ms",
                        millisSince(mArrivedAt, now));
        mGateway.closed(this);
    }

    private static long millisSince(long start, long now) {
        return (now - start) / NANOS_PER_MILLI;
    }

    /** One send to one upstream. */
    private final class OpenSend implements AnswerSink, UpstreamPool.Taker {
        private final UpstreamChooser.Choice mChoice;

        /** The weights that the engine is believed to have. */
        private final int mVersion;

        private long mStartedAt;
        private long mHeardAt;
        private long mGivenUntil;
        private UpstreamConnection mConnection;
        private boolean mSent;
        private boolean mPrefilled;
        private boolean mClosed;
        private HttpResponse mResponse;
        private AnswerHead mAnswerHead;
        private CompositeByteBuf mAnswer;

        OpenSend(UpstreamChooser.Choice choice) {
            mChoice = choice;
            mVersion = mHead.prompt().map(choice.load()::version).orElse(0);
        }

        Upstream upstream() {
            return mChoice.load().upstream();
        }

        void start(long now) {
            mStartedAt = now;
            mHeardAt = now;
            mGivenUntil = now;
            mSends++;
            mChoice.load().sent(mChoice.uncachedTokens());
            mGateway.log()
                    .record(
                            GatewayEvent.REQUEST_PLACED,
                            "request",
                            mHead.id(),
                            "route",
                            mRoute.name(),
                            "upstream",
                            upstream().id(),
                            "uncached",
                            mChoice.uncachedTokens(),
                            "in_flight",
                            mChoice.load().inFlight(),
                            "config",
                            mGateway.configVersion());
            mGateway.pool().take(upstream(), this);
        }

        @Override
        public void onConnection(UpstreamConnection connection) {
            if (mClosed) {
                mGateway.pool().giveBack(connection);
                return;
            }
            mConnection = connection;
            mSent = true;
            mPlaced.ifPresent(this::noteCached);
            long left = Math.max(1, (mDeadline - mGateway.now()) / NANOS_PER_MILLI);
            HttpHeaders headers =
                    mGateway.dialect()
                            .writeSend(
                                    mHeaders,
                                    new Send(
                                            upstream(),
                                            left,
                                            mAccess.map(a -> a.workspace().value()),
                                            urgency(),
                                            resumeAfter(),
                                            engineSend()));
            connection.send(mHead.id(), mMethod, mUri, headers, mBody, this);
            armTimer(nextCheck());
        }

        private Optional<Send.EngineSend> engineSend() {
            return mPlaced.map(
                    p ->
                            new Send.EngineSend(
                                    p.scope(mVersion),
                                    mVersion,
                                    mChoice.source(),
                                    mChoice.keepAt(),
                                    mChoice.backup().filter(b -> mBacksUp),
                                    mContinuesCopy));
        }

        private void noteCached(UpstreamChooser.PlacedPrompt placed) {
            long[] keys = placed.prompt().keys(placed.scope(mVersion));
            mChoice.load().cached().sent(placed.prompt(), keys, mGateway.now());
            if (mChoice.keepAt().isPresent()) {
                placed.kept()
                        .ifPresent(k -> k.cached().sent(placed.prompt(), keys, mGateway.now()));
            }
        }

        private OptionalLong resumeAfter() {
            if (mEvents.lastId().isPresent()) {
                return mEvents.lastId();
            }
            return mContinuesCopy ? OptionalLong.of(0) : mHead.lastEvent();
        }

        private OptionalInt urgency() {
            if (mHead.prompt().isEmpty()) {
                return OptionalInt.empty();
            }
            OptionalInt own = mAccess.map(WorkspaceAccess::priority).orElse(OptionalInt.empty());
            return own.isPresent() ? own : OptionalInt.of(mRoute.priority());
        }

        @Override
        public void onNoConnection(String reason) {
            if (!mClosed) {
                onSendFailed(this, SendFailure.NOT_CONNECTED, reason);
            }
        }

        @Override
        public void onHead(HttpResponse response, AnswerHead head) {
            noteHeard();
            mResponse = response;
            mAnswerHead = head;
            head.weightsVersion().ifPresent(this::sawVersion);
            if (!isEventStream()) {
                mAnswer = Unpooled.compositeBuffer();
            } else if (!head.sealed() || head.encoded()) {
                fail(SendFailure.GARBLED, "stream without signature");
            }
        }

        private void noteHeard() {
            mHeardAt = mGateway.now();
            mChoice.load().heard(mHeardAt);
        }

        private void sawVersion(int version) {
            mHead.prompt().ifPresent(p -> mChoice.load().sawVersion(p.model(), version));
        }

        private boolean isEventStream() {
            return mRoute.kind() == CallKind.STREAM
                    && mResponse.status().equals(HttpResponseStatus.OK);
        }

        @Override
        public void onContent(ByteBuf content) {
            if (mClosed) {
                content.release();
                return;
            }
            noteHeard();
            if (mAnswer != null) {
                mAnswer.addComponent(true, content);
                if (mAnswer.readableBytes() > MAX_ANSWER_BYTES) {
                    fail(SendFailure.GARBLED, "answer too long");
                }
                return;
            }
            ByteBuf events;
            try {
                events = mEvents.take(content);
            } catch (IllegalArgumentException e) {
                fail(SendFailure.GARBLED, e.getMessage());
                return;
            }
            if (events.isReadable()) {
                pass(events);
            }
        }

        private void pass(ByteBuf events) {
            prefilled();
            if (!mStreaming) {
                mStreaming = true;
                mGateway.metrics().firstEvent(mHeardAt - mArrivedAt);
                mFront.startStream(
                        mResponse.status(), mGateway.dialect().writeAnswer(mResponse.headers()));
            }
            mFront.streamPart(events);
        }

        private void prefilled() {
            if (mPrefilled) {
                return;
            }
            mPrefilled = true;
            mChoice.load().prefilled(mChoice.uncachedTokens());
            double taken = mHeardAt - mStartedAt;
            double expected =
                    mHead.prompt().isPresent()
                            ? mChoice.expectedNanos()
                            : mRoute.goal().toNanos() / 4.0;
            if (expected > 0) {
                mChoice.load().measured(taken / expected);
            }
        }

        @Override
        public void onEnd() {
            if (mClosed) {
                return;
            }
            mConnection = null;
            if (mAnswer == null) {
                endStream();
            } else {
                endPlain();
            }
        }

        private void endStream() {
            if (mEvents.isInEvent() || !mStreaming) {
                onSendFailed(this, SendFailure.BROKEN, "stream ended within an event");
                return;
            }
            mChoice.load().answered(true, mGateway.now());
            mFront.endStream();
            finish("answered");
        }

        private void endPlain() {
            int status = mResponse.status().code();
            if (mAnswerHead.misdirected()) {
                noteMisdirected();
            }
            if (mAnswerHead.notRun() || mAnswerHead.misdirected()) {
                onSendFailed(this, SendFailure.REJECTED, "status " + status);
            } else if (mAnswerHead.encoded() || (isSuccess(status) && !mAnswerHead.sealed())) {
                onSendFailed(this, SendFailure.GARBLED, "answer without signature");
            } else if (isError(status) && mayTryElsewhere()) {
                onSendFailed(this, SendFailure.ERROR_ANSWER, "status " + status);
            } else {
                passPlain(status);
            }
        }

        /** Either another process has the address, or the engine has other weights by now. */
        private void noteMisdirected() {
            boolean otherProcess =
                    mAnswerHead.instance().filter(i -> !i.equals(upstream().id())).isPresent();
            if (otherProcess) {
                mChoice.load().unreachable(mGateway.now());
            } else if (mAnswerHead.weightsVersion().isEmpty()) {
                mHead.prompt()
                        .map(p -> mGateway.versions().newest(p.model()))
                        .ifPresent(this::sawVersion);
            }
        }

        private boolean mayTryElsewhere() {
            long now = mGateway.now();
            long left = mDeadline - now;
            mRetryPaid =
                    !mCallerGone
                            && RetryRule.mayPlaceAgain(
                                    mRoute, SendFailure.ERROR_ANSWER, mRuns + 1, mRejections, left)
                            && mGateway.loads(mService).size() > mExcluded.size() + 1
                            && mBudget.tryRetry(now, mGateway.instances());
            return mRetryPaid;
        }

        private void passPlain(int status) {
            prefilled();
            mChoice.load().answered(!isError(status), mGateway.now());
            if (!mCallerGone) {
                ByteBuf answer = mAnswer;
                mAnswer = null;
                mFront.reply(
                        mResponse.status(),
                        mGateway.dialect().writeAnswer(mResponse.headers()),
                        answer);
            }
            finish("answered");
        }

        @Override
        public void onFailure(SendFailure failure, String reason) {
            if (!mClosed) {
                mConnection = null;
                onSendFailed(this, failure, reason);
            }
        }

        private void fail(SendFailure failure, String reason) {
            onSendFailed(this, failure, reason);
        }

        boolean isSilent(long now) {
            return silentAt() - now <= 0;
        }

        void giveTime(long now) {
            mGivenUntil = now + MORE_TIME_NANOS;
        }

        /** When the upstream has been silent for too long, the deadline if it can not be. */
        long silentAt() {
            return Math.max(mGivenUntil, usuallySilentAt());
        }

        private long usuallySilentAt() {
            boolean copied = mBacksUp && mStreaming && !mContinuesCopy;
            boolean mayMove = mRoute.mayRunAgain() && mRuns + 1 < mRoute.attempts();
            if (!mSent || !(copied || mayMove)) {
                return mDeadline;
            }
            if (mRoute.kind() == CallKind.STREAM) {
                return mHeardAt + (mStreaming || !isAtWork() ? SILENT_STREAM_NANOS : QUEUED_NANOS);
            }
            return mStartedAt + (long) (SILENT_GOALS * mRoute.goal().toNanos());
        }

        /** Tells whether the upstream answers others, so that this request waits in its queue. */
        private boolean isAtWork() {
            return mChoice.load().isAudible(mGateway.now(), SILENT_STREAM_NANOS / 2);
        }

        /** Gives the send up; what is still open of it is cancelled. */
        void close() {
            if (mClosed) {
                return;
            }
            mClosed = true;
            if (!mPrefilled) {
                mPrefilled = true;
                mChoice.load().prefilled(mChoice.uncachedTokens());
            }
            mChoice.load().ended();
            if (mAnswer != null) {
                mAnswer.release();
                mAnswer = null;
            }
            if (mConnection != null) {
                mConnection.cancel();
                mConnection = null;
            }
        }
    }

    private static boolean isSuccess(int status) {
        return status / 100 == 2;
    }

    private static boolean isError(int status) {
        return status / 100 == 5;
    }
}
