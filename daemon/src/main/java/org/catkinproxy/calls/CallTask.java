package org.catkinproxy.calls;

import org.catkinproxy.call.CallAction;
import org.catkinproxy.call.CallAttemptSpec;
import org.catkinproxy.call.CallEvent;
import org.catkinproxy.call.CallReceiptSigner;
import org.catkinproxy.call.CallStateMachine;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.CallKey;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.service.CallStatus;
import org.catkinproxy.service.SendResult;
import org.catkinproxy.service.ServiceClient;
import org.catkinproxy.service.ServiceRequest;
import org.catkinproxy.task.Mailbox;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.subjects.SingleSubject;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;

/**
 * Owns the open attempts at at-most-once calls, and performs the actions of their state machines.
 *
 * <p>All mutable state is confined to the mailbox's handler. {@link #start}, {@link
 * #openAttemptCount} and {@link #dispose} are safe for use by any thread.
 */
final class CallTask implements Disposable {
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(2);
    private static final double JITTER_FRACTION = 0.2;

    private final CallTable mTable;
    private final ServiceClient mServices;
    private final CallReceiptSigner mReceiptSigner;
    private final Scheduler mScheduler;
    private final DoubleSupplier mRandom;
    private final Map<AttemptId, OpenAttempt> mOpenAttempts = new HashMap<>();
    private final AtomicInteger mOpenAttemptCount = new AtomicInteger();
    private final Mailbox<Message> mMailbox;

    CallTask(
            CallTable table,
            ServiceClient services,
            CallReceiptSigner receiptSigner,
            Scheduler scheduler,
            DoubleSupplier random) {
        mTable = table;
        mServices = services;
        mReceiptSigner = receiptSigner;
        mScheduler = scheduler;
        mRandom = random;
        mMailbox = Mailbox.open(scheduler, this::handle, CallTask::reportFailure);
    }

    /**
     * Starts an attempt. The attempt runs to completion even if nothing subscribes to the result.
     */
    Single<CallResult> start(ServiceCall call, CallAttemptSpec spec, CallKey key) {
        OpenAttempt attempt = new OpenAttempt(call, spec, key);
        mOpenAttemptCount.incrementAndGet();
        mMailbox.post(new Message(attempt, Optional.empty()));
        return attempt.mResult;
    }

    /**
     * Returns the number of attempts in progress, including those that have already replied to
     * their callers.
     */
    int openAttemptCount() {
        return mOpenAttemptCount.get();
    }

    @Override
    public void dispose() {
        mMailbox.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mMailbox.isDisposed();
    }

    private void handle(Message message) {
        try {
            advance(message);
        } catch (RuntimeException e) {
            message.attempt().mResult.onSuccess(CallResult.Failed.of(internalError(e)));
            close(message.attempt());
            throw e;
        }
    }

    private static CatkinException internalError(RuntimeException cause) {
        return CatkinException.of(
                ErrorCode.INTERNAL,
                Step.RECORD,
                CatkinException.NO_PEER,
                Outcome.UNKNOWN,
                "the attempt was ended by an internal error",
                cause);
    }

    private void advance(Message message) {
        OpenAttempt attempt = message.attempt();
        if (message.event().isPresent()) {
            perform(attempt, attempt.mStateMachine.handle(message.event().get()));
            return;
        }
        mOpenAttempts.put(attempt.id(), attempt);
        attempt.mDeadlineTimer =
                schedule(attempt, attempt.mCall.timeout(), new CallEvent.DeadlinePassed());
        perform(attempt, attempt.mStateMachine.start());
    }

    private void perform(OpenAttempt attempt, Iterable<CallAction> actions) {
        for (CallAction action : actions) {
            perform(attempt, action);
        }
    }

    private void perform(OpenAttempt attempt, CallAction action) {
        if (action instanceof CallAction.ReadRow) {
            read(attempt);
        } else if (action instanceof CallAction.WriteRow write) {
            write(attempt, write);
        } else if (action instanceof CallAction.Send send) {
            send(attempt, send.instanceIndex());
        } else if (action instanceof CallAction.QueryStatus) {
            queryStatus(attempt);
        } else if (action instanceof CallAction.SetTimer timer) {
            schedule(attempt, jittered(timer.delayMillis()), new CallEvent.TimerElapsed());
        } else if (action instanceof CallAction.Reply reply) {
            reply(attempt, reply);
        } else if (action instanceof CallAction.ReplyError replyError) {
            replyError(attempt, replyError);
        } else if (action instanceof CallAction.ReportContradiction report) {
            EventLog.log(LogEvent.CALL_CONTRADICTED, attempt.mKey, report.resolution().operator());
        } else {
            close(attempt);
        }
    }

    private void read(OpenAttempt attempt) {
        mTable.read(attempt.mKey)
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty())
                .subscribe(
                        row -> post(attempt, new CallEvent.RowRead(row)),
                        failure -> {
                            EventLog.log(LogEvent.CALL_READ_FAILED, attempt.mKey, failure);
                            post(attempt, new CallEvent.ReadFailed());
                        });
    }

    private void write(OpenAttempt attempt, CallAction.WriteRow write) {
        mTable.write(attempt.mKey, write.expectedVersion(), write.record())
                .subscribe(
                        version -> post(attempt, new CallEvent.Written(version)),
                        failure -> post(attempt, writeFailure(attempt, failure)));
    }

    private static CallEvent writeFailure(OpenAttempt attempt, Throwable failure) {
        if (failure instanceof CatkinException e && e.code() == ErrorCode.STORE_CONFLICT) {
            return new CallEvent.WriteConflict();
        }
        EventLog.log(LogEvent.CALL_WRITE_FAILED, attempt.mKey, failure);
        return new CallEvent.WriteFailed();
    }

    private void send(OpenAttempt attempt, int instanceIndex) {
        ServiceCall call = attempt.mCall;
        ServiceRequest request =
                new ServiceRequest(
                        call.instances().get(instanceIndex).address(),
                        call.method(),
                        call.path(),
                        call.contentType(),
                        call.body(),
                        attempt.mKey.key(),
                        attempt.id(),
                        SEND_TIMEOUT);
        mServices
                .send(request)
                .subscribe(
                        result -> post(attempt, toEvent(result)),
                        failure ->
                                post(attempt, new CallEvent.ResponseLost(String.valueOf(failure))));
    }

    private static CallEvent toEvent(SendResult result) {
        if (result instanceof SendResult.Responded responded) {
            return new CallEvent.ResponseReceived(responded.response());
        }
        return result instanceof SendResult.NotConnected failed
                ? new CallEvent.NotConnected(failed.reason())
                : new CallEvent.ResponseLost(((SendResult.ResponseLost) result).reason());
    }

    private void queryStatus(OpenAttempt attempt) {
        Observable.fromIterable(attempt.mCall.instances())
                .flatMapSingle(
                        i -> mServices.queryStatus(i.address(), attempt.mKey.key(), STATUS_TIMEOUT))
                .filter(status -> status.response().isPresent())
                .first(CallStatus.UNKNOWN)
                .subscribe(
                        status -> post(attempt, new CallEvent.StatusReceived(status.response())),
                        failure -> post(attempt, new CallEvent.StatusReceived(Optional.empty())));
    }

    private void reply(OpenAttempt attempt, CallAction.Reply reply) {
        ServiceResponse response =
                new ServiceResponse(reply.response(), reply.attempt(), reply.replayed());
        attempt.mResult.onSuccess(new CallResult.Responded(response));
    }

    private void replyError(OpenAttempt attempt, CallAction.ReplyError replyError) {
        Step step = replyError.outcome() == Outcome.NOT_RUN ? Step.CLAIM : Step.SEND;
        CatkinException error =
                CatkinException.of(
                        replyError.code(),
                        step,
                        attempt.mCall.service().value(),
                        replyError.outcome(),
                        replyError.message(),
                        null);
        if (replyError.outcome() == Outcome.UNKNOWN) {
            EventLog.log(LogEvent.CALL_UNKNOWN, attempt.mKey, attempt.id(), replyError.code());
        }
        Optional<String> receipt =
                replyError.withReceipt()
                        ? Optional.of(mReceiptSigner.sign(attempt.mKey, attempt.id()))
                        : Optional.empty();
        attempt.mResult.onSuccess(new CallResult.Failed(error, receipt));
    }

    private void close(OpenAttempt attempt) {
        attempt.mDeadlineTimer.dispose();
        if (mOpenAttempts.remove(attempt.id()) != null) {
            mOpenAttemptCount.decrementAndGet();
        }
    }

    private Disposable schedule(OpenAttempt attempt, Duration delay, CallEvent event) {
        return mScheduler.scheduleDirect(
                () -> post(attempt, event), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private Duration jittered(long millis) {
        double factor = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * mRandom.getAsDouble();
        return Duration.ofMillis(Math.round(millis * factor));
    }

    private void post(OpenAttempt attempt, CallEvent event) {
        mMailbox.post(new Message(attempt, Optional.of(event)));
    }

    private static void reportFailure(Throwable failure) {
        EventLog.log(LogEvent.TASK_FAILED, "calls", failure);
    }

    /** An event for one attempt; without an event, the attempt starts. */
    private record Message(OpenAttempt attempt, Optional<CallEvent> event) {}

    /** An attempt in progress. */
    private static final class OpenAttempt {
        private final ServiceCall mCall;
        private final CallAttemptSpec mSpec;
        private final CallKey mKey;
        private final CallStateMachine mStateMachine;
        private final SingleSubject<CallResult> mResult = SingleSubject.create();
        private Disposable mDeadlineTimer = Disposable.disposed();

        OpenAttempt(ServiceCall call, CallAttemptSpec spec, CallKey key) {
            mCall = call;
            mSpec = spec;
            mKey = key;
            mStateMachine = CallStateMachine.create(spec);
        }

        AttemptId id() {
            return mSpec.claim().attempt();
        }
    }
}
