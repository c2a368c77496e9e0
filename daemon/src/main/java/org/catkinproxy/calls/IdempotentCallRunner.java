package org.catkinproxy.calls;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.service.SendResult;
import org.catkinproxy.service.ServiceClient;
import org.catkinproxy.service.ServiceRequest;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends idempotent calls, and retries them on other instances within a retry budget.
 *
 * <p>A call without an idempotency key is sent with its attempt id as the key, so that the client
 * can detect the response to another request. Safe for use by any thread.
 */
final class IdempotentCallRunner {
    private final ServiceClient mServices;
    private final Supplier<AttemptId> mNewAttemptId;
    private final LongSupplier mNanoClock;
    private final RetryBudget mRetryBudget = new RetryBudget();

    IdempotentCallRunner(
            ServiceClient services, Supplier<AttemptId> newAttemptId, LongSupplier nanoClock) {
        mServices = services;
        mNewAttemptId = newAttemptId;
        mNanoClock = nanoClock;
    }

    /** Runs a call. The result never fails. */
    Single<CallResult> run(ServiceCall call) {
        mRetryBudget.addCall();
        long deadlineNanos = mNanoClock.getAsLong() + call.timeout().toNanos();
        return send(call, 0, deadlineNanos, false);
    }

    private Single<CallResult> send(
            ServiceCall call, int attempts, long deadlineNanos, boolean maybeSent) {
        if (call.instances().isEmpty()) {
            return Single.just(failure(call, "no instance of the service is live", false));
        }
        ServiceInstance instance = call.instances().get(attempts % call.instances().size());
        AttemptId attemptId = mNewAttemptId.get();
        ServiceRequest request = toRequest(call, instance, attemptId, deadlineNanos);
        return mServices
                .send(request)
                .flatMap(
                        result ->
                                handleResult(
                                        call,
                                        attempts,
                                        deadlineNanos,
                                        maybeSent,
                                        attemptId,
                                        result));
    }

    private Single<CallResult> handleResult(
            ServiceCall call,
            int attempts,
            long deadlineNanos,
            boolean maybeSent,
            AttemptId attemptId,
            SendResult result) {
        if (result instanceof SendResult.Responded responded) {
            ServiceResponse response = new ServiceResponse(responded.response(), attemptId, false);
            return Single.just(new CallResult.Responded(response));
        }
        boolean maybeSentNow = maybeSent || result instanceof SendResult.ResponseLost;
        boolean hasAttemptsLeft = attempts + 1 < Math.max(2, call.instances().size());
        if (hasAttemptsLeft
                && deadlineNanos - mNanoClock.getAsLong() > 0
                && mRetryBudget.tryWithdraw()) {
            return send(call, attempts + 1, deadlineNanos, maybeSentNow);
        }
        return Single.just(failure(call, failureReason(result), maybeSentNow));
    }

    private ServiceRequest toRequest(
            ServiceCall call, ServiceInstance instance, AttemptId attemptId, long deadlineNanos) {
        IdempotencyKey key = call.idempotencyKey().orElse(IdempotencyKey.of(attemptId.value()));
        long remainingNanos = Math.max(0, deadlineNanos - mNanoClock.getAsLong());
        return new ServiceRequest(
                instance.address(),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                key,
                attemptId,
                Duration.ofNanos(remainingNanos));
    }

    private static CallResult failure(ServiceCall call, String reason, boolean maybeSent) {
        Outcome outcome = maybeSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return CallResult.Failed.of(
                CatkinException.of(
                        ErrorCode.SERVICE_UNREACHABLE,
                        Step.SEND,
                        call.service().value(),
                        outcome,
                        reason,
                        null));
    }

    private static String failureReason(SendResult result) {
        return result instanceof SendResult.NotConnected failed
                ? failed.reason()
                : ((SendResult.ResponseLost) result).reason();
    }
}
