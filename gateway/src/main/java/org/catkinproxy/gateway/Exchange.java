package org.catkinproxy.gateway;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.serving.AdmissionPolicy;
import org.catkinproxy.serving.CallKind;
import org.catkinproxy.serving.LimitWaitPolicy;
import org.catkinproxy.serving.RetryAfterPolicy;
import org.catkinproxy.serving.RetryPolicy;
import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.UpstreamChooser;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The handling of one caller's request, from its complete receipt to the end of its response.
 *
 * <p>At most one attempt is open at any time: an attempt is closed before the next one starts. A
 * full response is forwarded once it is complete. The events of a stream are forwarded as they
 * arrive, each once it is complete. Used by the event loop only.
 */
final class Exchange implements UpstreamAttempt.Listener {
    /** Delay before a request that was rejected by engines is tried again. */
    private static final long REJECTED_RETRY_DELAY_MILLIS = 120;

    /**
     * Time from a request's arrival during which it is retried after rejections. As much time must
     * be left until its deadline.
     */
    private static final long MAX_REJECTED_WAIT_NANOS = 1_500_000_000L;

    /** Minimum time between two checks for a stalled attempt. */
    private static final long MIN_TIMER_DELAY_NANOS = 10_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Gateway mGateway;
    private final CallerConnection mConnection;
    private final AdmittedRequest mRequest;
    private final RequestLog mLog;

    /** When the request arrived at the earliest: it may have waited until the loop read it. */
    private final long mArrivedAt;

    /**
     * When the request ends. A stream counts as if it had not waited, as its end would cut it off;
     * its caller, who has events, leaves when the time is over.
     */
    private final long mDeadline;

    /** When the caller gives up unless its response has begun, at the latest the deadline. */
    private final long mBeginDeadline;

    private final ServiceId mService;
    private final AttemptHistory mHistory;
    private final UpstreamFeedback mFeedback;
    private final ServerSentEventSplitter mEventSplitter;
    private final RequestPlacement mPlacement;
    private UpstreamAttempt mAttempt;

    /** Whether the stream has gone on with the memory of a run, which it does once at most. */
    private boolean mHasResumedRun;

    private boolean mStreaming;

    /** When the first event of the stream arrived, 0 before that. */
    private long mFirstEventAt;

    private boolean mDone;
    private boolean mCallerGone;
    private ScheduledFuture<?> mTimer;

    Exchange(Gateway gateway, CallerConnection connection, AdmittedRequest request) {
        mGateway = gateway;
        mConnection = connection;
        mRequest = request;
        mLog = new RequestLog(gateway, request);
        mEventSplitter =
                new ServerSentEventSplitter(gateway.headerCodec().weightsVersionEventField());
        long readAt = gateway.now();
        mArrivedAt = readAt - connection.maxWaitNanos();
        boolean isStream = route().kind() == CallKind.STREAM;
        mDeadline = (isStream ? readAt : mArrivedAt) + request.timeoutNanos();
        long patienceNanos = request.route().callerPatience().toNanos();
        mBeginDeadline = mArrivedAt + Math.min(request.timeoutNanos(), patienceNanos);
        mService = request.service();
        mHistory = new AttemptHistory(gateway, route(), gateway.retryBudget(mService));
        mFeedback = new UpstreamFeedback(gateway, request.head().prompt(), mLog);
        mPlacement = new RequestPlacement(gateway, request, mHistory, mEventSplitter, mDeadline);
    }

    private Route route() {
        return mRequest.route();
    }

    /** Starts the first attempt. */
    void start() {
        mGateway.openRequests().add(this);
        mGateway.retryBudget(mService).recordRequest(mArrivedAt);
        armTimer(mDeadline);
        mGateway.startQueue().start(this::placeIfInTime);
    }

    private void placeIfInTime() {
        if (mDone) {
            return;
        }
        if (canBeSentInTime()) {
            place();
        } else {
            refuse(ErrorCode.DEADLINE_UNREACHABLE, "the event loop is too far behind");
        }
    }

    /** Returns whether enough time is left after another turn of the event loop, to connect. */
    private boolean canBeSentInTime() {
        long now = mGateway.now();
        long leftNanos = mBeginDeadline - now - mGateway.loopDelay().turnNanos(now);
        return RetryPolicy.hasTimeLeft(route(), leftNanos);
    }

    /**
     * Handles the end of the caller's connection. The request ends, unless it is one that runs on
     * without its caller and was already sent.
     */
    void onCallerDisconnected() {
        if (mDone) {
            return;
        }
        mCallerGone = true;
        mLog.callerGone(mHistory.attempts());
        boolean runsOn =
                mAttempt != null && mAttempt.isSent() && !route().kind().isCancelledOnDisconnect();
        if (!runsOn) {
            finish("caller_gone");
        }
    }

    /**
     * Answers a request whose response has not begun, as the process ends. A stream that has begun
     * goes on until then.
     */
    void endForStop() {
        if (mCallerGone || mStreaming) {
            return;
        }
        if (mayHaveRun()) {
            fail(ErrorCode.UPSTREAM_FAILED, "the instance stops before the upstream has responded");
        } else {
            refuse(ErrorCode.STOPPING, "the instance stops before the request was sent");
        }
    }

    /** Logs that the end of the process cuts off this request. */
    void logCut() {
        long now = mGateway.now();
        long quietNanos = mAttempt == null ? 0 : now - mAttempt.lastActivityAt();
        mLog.cut(mHistory.attempts(), mStreaming, now - mArrivedAt, quietNanos);
    }

    /** Pauses or resumes reading from the upstream as the caller's connection fills or drains. */
    void onCallerWritabilityChanged(boolean writable) {
        if (mAttempt != null) {
            mAttempt.setAutoRead(writable);
        }
    }

    private Optional<Quarantine> findQuarantine() {
        return mRequest.head().prompt().flatMap(mGateway.promptGuard()::findQuarantine);
    }

    /** Ends the request if its prompt is quarantined and an engine may still crash on it. */
    void endIfQuarantined() {
        boolean maySendOrCrash =
                mAttempt == null || !mAttempt.isSent() || mAttempt.isPromptSuspect();
        if (!mDone && !mStreaming && maySendOrCrash) {
            findQuarantine().ifPresent(this::endQuarantined);
        }
    }

    private void endQuarantined(Quarantine quarantine) {
        if (mStreaming) {
            mConnection.abort();
            finish("broken");
        } else if (mayHaveRun()) {
            fail(ErrorCode.UPSTREAM_FAILED, "the prompt crashes engines");
        } else {
            long remainingNanos = quarantine.expiresAt() - mGateway.now();
            refuse(
                    ErrorCode.PROMPT_QUARANTINED,
                    "the prompt crashes engines",
                    Math.max(1, remainingNanos / NANOS_PER_MILLI));
        }
    }

    /** Returns whether an upstream may have run the request, or may run it now. */
    private boolean mayHaveRun() {
        return mHistory.mayHaveRun() || (mAttempt != null && mAttempt.isSent());
    }

    private void place() {
        Optional<Quarantine> quarantine = findQuarantine();
        if (quarantine.isPresent()) {
            endQuarantined(quarantine.get());
            return;
        }
        long now = mGateway.now();
        Optional<UpstreamChooser.Choice> choice = mPlacement.choose(now);
        if (choice.isEmpty()) {
            waitOrGiveUp(now);
            return;
        }
        AdmissionPolicy.Verdict verdict = mPlacement.decideAdmission(choice.get(), now);
        if (verdict.admits()) {
            startAttempt(choice.get(), Optional.empty());
        } else {
            refuseForLoad(choice.get(), verdict);
        }
    }

    /**
     * Places the request again when an upstream that pauses or has a limit may get it, if that is
     * soon, and otherwise gives up.
     */
    private void waitOrGiveUp(long now) {
        OptionalLong waitNanos =
                mGateway.limitGuard().nanosUntilAllowed(mGateway.upstreamStates(mService));
        if (waitNanos.isEmpty() || mStreaming || mHistory.mayHaveRun()) {
            giveUp(ErrorCode.NO_UPSTREAM, "no upstream accepts requests");
        } else if (LimitWaitPolicy.mayWait(
                route(), now - mArrivedAt + waitNanos.getAsLong(), mDeadline - now)) {
            mGateway.loop()
                    .schedule(
                            this::placeUnlessDone,
                            Math.max(waitNanos.getAsLong(), MIN_TIMER_DELAY_NANOS),
                            TimeUnit.NANOSECONDS);
        } else {
            long waitMillis = waitNanos.getAsLong() / NANOS_PER_MILLI;
            refuseForWait(waitMillis, "the limits of all upstreams are used up, or they pause");
        }
    }

    private void placeUnlessDone() {
        if (!mDone) {
            place();
        }
    }

    private void refuseForLoad(UpstreamChooser.Choice choice, AdmissionPolicy.Verdict verdict) {
        long waitMillis = (long) (choice.queueWaitNanos() / NANOS_PER_MILLI);
        refuseForWait(
                waitMillis, verdict + ": " + waitMillis + " ms queue wait at the best engine");
    }

    private void refuseForWait(long waitMillis, String reason) {
        long leftMillis = (mDeadline - mGateway.now()) / NANOS_PER_MILLI;
        long retryAfterMillis =
                RetryAfterPolicy.retryAfterMillis(waitMillis, leftMillis, mGateway.random());
        refuse(ErrorCode.DEADLINE_UNREACHABLE, reason, retryAfterMillis);
    }

    private void startAttempt(UpstreamChooser.Choice choice, Optional<RunCopy> resumesFrom) {
        OptionalLong lastEventId =
                mEventSplitter.lastEventId().isPresent()
                        ? mEventSplitter.lastEventId()
                        : mRequest.head().lastEventId();
        mHistory.recordAttempt();
        mLog.placed(choice);
        mAttempt =
                new UpstreamAttempt(
                        mGateway,
                        mRequest,
                        mPlacement.request(),
                        choice,
                        new UpstreamAttempt.SendOptions(
                                lastEventId,
                                resumesFrom,
                                mPlacement.isBackupEnabled(),
                                mHistory.connections()),
                        mEventSplitter,
                        mDeadline,
                        sendDeadline(),
                        this);
        mAttempt.start();
    }

    /** Returns the time at which it is too late to send the request once more. */
    private long sendDeadline() {
        return mStreaming ? mDeadline : mBeginDeadline;
    }

    @Override
    public void onAttemptFailed(UpstreamAttempt attempt, SendFailure failure, String reason) {
        long now = mGateway.now();
        attempt.close();
        mAttempt = null;
        attempt.sentOn().ifPresent(mHistory::recordConnection);
        mHistory.recordFailure(failure);
        mFeedback.recordFailure(attempt, failure, now);
        mLog.sendFailed(attempt, failure, reason, now);
        if (mCallerGone) {
            finish("caller_gone");
            return;
        }
        if (failure == SendFailure.BROKEN && !mayRepeatPrompt()) {
            giveUp(ErrorCode.NO_UPSTREAM, reason);
            return;
        }
        if (mStreaming && failure.isResponseLost() && mPlacement.request().isPresent()) {
            handOver(attempt, failure, reason);
        } else {
            sendAgain(attempt, failure, reason);
        }
    }

    /** Has the run of a broken stream ended before another engine goes on with it. */
    private void handOver(UpstreamAttempt attempt, SendFailure failure, String reason) {
        mHistory.recordTried(attempt.upstream());
        Optional<UpstreamChooser.Choice> successor =
                mPlacement
                        .findSuccessor(attempt, failure, mGateway.now())
                        .filter(s -> !mHasResumedRun || !mPlacement.isBackupEnabled());
        if (successor.isEmpty()) {
            giveUp(ErrorCode.NO_UPSTREAM, reason);
            return;
        }
        RunHandover.Listener listener =
                new RunHandover.Listener() {
                    @Override
                    public void onRunOver(Optional<RunCopy> copy) {
                        goOn(attempt, failure, reason, successor.get(), copy);
                    }

                    @Override
                    public void onRunMayGoOn() {
                        if (!mDone) {
                            giveUp(ErrorCode.NO_UPSTREAM, "the run may not have ended: " + reason);
                        }
                    }
                };
        new RunHandover(
                        mGateway,
                        mRequest.head().id(),
                        attempt.upstream(),
                        successor.get().target().upstream(),
                        failure,
                        listener)
                .start();
    }

    /** Goes on with a stream whose run has ended. */
    private void goOn(
            UpstreamAttempt ended,
            SendFailure failure,
            String reason,
            UpstreamChooser.Choice successor,
            Optional<RunCopy> copy) {
        if (mDone) {
            return;
        }
        if (findQuarantine().isPresent() || (failure == SendFailure.BROKEN && !mayRepeatPrompt())) {
            giveUp(ErrorCode.NO_UPSTREAM, "the prompt crashes engines");
            return;
        }
        Optional<RunCopy> usable =
                copy.or(() -> mPlacement.backupCopy(successor))
                        .filter(c -> mPlacement.isCopyUsable(ended, successor, mGateway.now()));
        if (usable.isPresent() && tryChargeResumption(failure)) {
            resumeRun(successor, usable.get());
        } else {
            sendAgain(ended, failure, reason);
        }
    }

    /** Charges the continuation of a run, which is no further run of a stream with a backup. */
    private boolean tryChargeResumption(SendFailure failure) {
        return mPlacement.isBackupEnabled()
                ? mHistory.tryCharge()
                : mHistory.tryRetry(failure, sendDeadline() - mGateway.now());
    }

    private void resumeRun(UpstreamChooser.Choice successor, RunCopy copy) {
        mHasResumedRun = true;
        mEventSplitter.discardPartialEvent();
        mLog.resumed(
                successor.target().upstream().id(), mEventSplitter.lastEventId().orElseThrow());
        startAttempt(successor, Optional.of(copy));
    }

    private void sendAgain(UpstreamAttempt attempt, SendFailure failure, String reason) {
        long now = mGateway.now();
        if (mHistory.tryRetry(failure, sendDeadline() - now)) {
            mHistory.recordTried(attempt.upstream());
            mEventSplitter.discardPartialEvent();
            place();
        } else if (!mStreaming && mayRetryLater(failure, now)) {
            mHistory.forgetTried();
            retryRejectedLater();
        } else if (failure == SendFailure.EXPIRED) {
            giveUp(ErrorCode.DEADLINE_UNREACHABLE, reason);
        } else {
            giveUp(ErrorCode.NO_UPSTREAM, reason);
        }
    }

    /**
     * Ends the request without a complete response. Only a request that certainly did not run is
     * refused as not run, with {@code refusalCode}.
     */
    private void giveUp(ErrorCode refusalCode, String reason) {
        if (mStreaming) {
            mConnection.abort();
            finish("broken");
        } else if (!mHistory.mayHaveRun()) {
            refuse(refusalCode, reason);
        } else {
            fail(ErrorCode.UPSTREAM_FAILED, reason);
        }
    }

    /**
     * Returns whether a rejected request is tried again after a delay. Engines that change their
     * weights reject requests for one or two seconds, which may exhaust the retry budget; soon
     * after, an engine accepts requests and the budget has recovered.
     */
    private boolean mayRetryLater(SendFailure failure, long now) {
        long waited = now - mArrivedAt;
        return failure == SendFailure.REJECTED
                && !mHistory.mayHaveRun()
                && mRequest.head().prompt().isPresent()
                && waited < MAX_REJECTED_WAIT_NANOS
                && mDeadline - now > MAX_REJECTED_WAIT_NANOS;
    }

    private void retryRejectedLater() {
        mGateway.loop()
                .schedule(this::retryRejected, REJECTED_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retryRejected() {
        if (mDone) {
            return;
        }
        if (mHistory.tryCharge()) {
            place();
        } else if (mayRetryLater(SendFailure.REJECTED, mGateway.now())) {
            retryRejectedLater();
        } else {
            refuse(
                    ErrorCode.NO_UPSTREAM,
                    "rejected by the engines, and the retry budget is exhausted");
        }
    }

    /** Returns whether another engine may get the prompt after one may have crashed on it. */
    private boolean mayRepeatPrompt() {
        return mRequest.head()
                .prompt()
                .map(p -> mGateway.promptGuard().mayRepeat(mRequest.head().id(), p))
                .orElse(true);
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
        if (mAttempt != null && stalledAt(mAttempt) - now <= 0) {
            onStalled(mAttempt, now);
        }
        if (!mDone) {
            armTimer(Math.max(nextTimerAt(), now + MIN_TIMER_DELAY_NANOS));
        }
    }

    /** Abandons a stalled attempt if the budget allows a retry, and lets it continue otherwise. */
    private void onStalled(UpstreamAttempt attempt, long now) {
        if (!attempt.isPaused()
                && mPlacement.hasAlternative(attempt, now)
                && mHistory.tryChargeInAdvance()) {
            onAttemptFailed(
                    attempt,
                    SendFailure.SILENT,
                    "no data from the upstream within the stall timeout");
        } else {
            attempt.extendStallTimeout(now);
        }
    }

    private long nextTimerAt() {
        if (mAttempt == null) {
            return mDeadline;
        }
        long stalledAt = stalledAt(mAttempt);
        return stalledAt - mDeadline < 0 ? stalledAt : mDeadline;
    }

    /**
     * Returns when the attempt counts as stalled, which is the deadline if the request may not run
     * again: its backup may lack the run, and the silence of an upstream ends no response.
     */
    private long stalledAt(UpstreamAttempt attempt) {
        return attempt.isSent() && mHistory.mayRunAgain()
                ? attempt.stalledAt(mStreaming)
                : mDeadline;
    }

    private void onDeadline() {
        if (mCallerGone) {
            finish("caller_gone");
        } else if (mStreaming) {
            mConnection.abort();
            finish("timed_out");
        } else if (mHistory.attempts() == 0
                || (mAttempt != null && !mAttempt.isSent() && !mHistory.mayHaveRun())) {
            refuse(ErrorCode.DEADLINE_UNREACHABLE, "no attempt was sent before the deadline");
        } else {
            fail(ErrorCode.TIMED_OUT, "no complete response before the deadline");
        }
    }

    private void refuse(ErrorCode code, String reason) {
        long leftMillis = (mDeadline - mGateway.now()) / NANOS_PER_MILLI;
        refuse(code, reason, RetryAfterPolicy.retryAfterMillis(0, leftMillis, mGateway.random()));
    }

    private void refuse(ErrorCode code, String reason, long retryAfterMillis) {
        long leftMillis = (mDeadline - mGateway.now()) / NANOS_PER_MILLI;
        mLog.refused(code.wireName(), reason, mHistory.attempts(), leftMillis, retryAfterMillis);
        sendError(code, retryAfterMillis);
        finish("refused");
    }

    private void fail(ErrorCode code, String reason) {
        sendError(code, 0);
        finish(code.wireName() + ": " + reason);
    }

    private void sendError(ErrorCode code, long retryAfterMillis) {
        if (!mCallerGone) {
            mConnection.sendError(code, retryAfterMillis);
        }
    }

    private void finish(String outcome) {
        if (mDone) {
            return;
        }
        mDone = true;
        mTimer.cancel(false);
        if (mAttempt != null) {
            mAttempt.close();
            mAttempt = null;
        }
        mEventSplitter.discardPartialEvent();
        mRequest.body().release();
        long now = mGateway.now();
        mGateway.metrics().recordRequest(route().kind(), outcome, now - mArrivedAt);
        long firstEventNanos = mFirstEventAt == 0 ? -1 : mFirstEventAt - mArrivedAt;
        mLog.ended(outcome, mHistory.attempts(), firstEventNanos, now - mArrivedAt);
        mGateway.openRequests().remove(this);
    }

    @Override
    public void onSent() {
        armTimer(nextTimerAt());
    }

    @Override
    public void onEvents(UpstreamAttempt attempt, ByteBuf events) {
        if (!mStreaming) {
            mStreaming = true;
            mFirstEventAt = attempt.lastActivityAt();
            mGateway.metrics().recordFirstEvent(mFirstEventAt - mArrivedAt);
            HttpResponse response = attempt.response();
            mConnection.startStream(
                    response.status(), mGateway.headerCodec().writeResponse(response.headers()));
        }
        mConnection.writeStream(events);
    }

    @Override
    public void onStreamEnd(UpstreamAttempt attempt) {
        if (mEventSplitter.hasPartialEvent() || !mStreaming) {
            onAttemptFailed(
                    attempt,
                    SendFailure.BROKEN,
                    "stream ended within an event or before the first one");
            return;
        }
        attempt.upstreamState().recordResponse(true, mGateway.now());
        attempt.recordGeneration(true);
        attempt.recordPromptProven();
        mConnection.endStream();
        finish("answered");
    }

    @Override
    public void onFullResponse(UpstreamAttempt attempt) {
        int status = attempt.response().status().code();
        ResponseHead head = attempt.responseHead();
        if (head.misdirected()) {
            mFeedback.recordMisdirected(attempt, mGateway.now());
        }
        Optional<ResponseProblem> problem = ResponseProblem.find(head, status, route(), mStreaming);
        if (problem.isPresent()) {
            onAttemptFailed(attempt, problem.get().failure(), problem.get().reason());
        } else if (HttpStatusClass.SERVER_ERROR.contains(status)
                && tryChargeRetryElsewhere(attempt)) {
            onAttemptFailed(
                    attempt, SendFailure.ERROR_ANSWER, "upstream responded with status " + status);
        } else {
            forwardFullResponse(attempt, status);
        }
    }

    private boolean tryChargeRetryElsewhere(UpstreamAttempt attempt) {
        long now = mGateway.now();
        return !mCallerGone
                && mPlacement.hasAlternative(attempt, now)
                && mHistory.tryChargeInAdvanceOfError(sendDeadline() - now);
    }

    private void forwardFullResponse(UpstreamAttempt attempt, int status) {
        attempt.recordFirstOutput();
        attempt.upstreamState()
                .recordResponse(!HttpStatusClass.SERVER_ERROR.contains(status), mGateway.now());
        if (HttpStatusClass.SUCCESS.contains(status)) {
            attempt.recordPromptProven();
        }
        if (!mCallerGone) {
            HttpResponse response = attempt.response();
            HttpHeaders headers = mGateway.headerCodec().writeResponse(response.headers());
            mConnection.sendResponse(response.status(), headers, attempt.takeBody());
        }
        finish("answered");
    }
}
