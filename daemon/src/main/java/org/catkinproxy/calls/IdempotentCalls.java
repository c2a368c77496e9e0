package org.catkinproxy.calls;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.service.ServiceClient;
import org.catkinproxy.service.ServiceReply;
import org.catkinproxy.service.ServiceRequest;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Sends idempotent calls, and sends them again to other instances within a budget.
 *
 * <p>A call without a key of the caller's gets one of its own, so that a crossed answer is noticed.
 * Safe for use by any thread.
 */
final class IdempotentCalls {
    private final ServiceClient mServices;
    private final Supplier<AttemptId> mAttempts;
    private final LongSupplier mNanoTime;
    private final RetryBudget mBudget = new RetryBudget();

    IdempotentCalls(ServiceClient services, Supplier<AttemptId> attempts, LongSupplier nanoTime) {
        mServices = services;
        mAttempts = attempts;
        mNanoTime = nanoTime;
    }

    /** Runs a call; the result never fails. */
    Single<CallResult> run(ServiceCall call) {
        mBudget.deposit();
        long deadline = mNanoTime.getAsLong() + call.timeout().toNanos();
        return attempt(call, 0, deadline, false);
    }

    private Single<CallResult> attempt(ServiceCall call, int tried, long deadline, boolean sent) {
        if (call.instances().isEmpty()) {
            return Single.just(refusal(call, "no instance of the service is live", false));
        }
        ServiceInstance instance = call.instances().get(tried % call.instances().size());
        AttemptId attempt = mAttempts.get();
        ServiceRequest request = request(call, instance, attempt, deadline);
        return mServices
                .send(request)
                .flatMap(reply -> handle(call, tried, deadline, sent, attempt, reply));
    }

    private Single<CallResult> handle(
            ServiceCall call,
            int tried,
            long deadline,
            boolean sent,
            AttemptId attempt,
            ServiceReply reply) {
        if (reply instanceof ServiceReply.Answered answered) {
            ServiceAnswer answer = new ServiceAnswer(answered.answer(), attempt, false);
            return Single.just(new CallResult.Answered(answer));
        }
        boolean nowSent = sent || reply instanceof ServiceReply.Lost;
        boolean more = tried + 1 < Math.max(2, call.instances().size());
        if (more && deadline - mNanoTime.getAsLong() > 0 && mBudget.tryWithdraw()) {
            return attempt(call, tried + 1, deadline, nowSent);
        }
        return Single.just(refusal(call, reasonOf(reply), nowSent));
    }

    private ServiceRequest request(
            ServiceCall call, ServiceInstance instance, AttemptId attempt, long deadline) {
        IdempotencyKey key = call.key().orElse(IdempotencyKey.of(attempt.value()));
        long left = Math.max(0, deadline - mNanoTime.getAsLong());
        return new ServiceRequest(
                instance.address(),
                call.method(),
                call.path(),
                call.contentType(),
                call.body(),
                key,
                attempt,
                Duration.ofNanos(left));
    }

    private static CallResult refusal(ServiceCall call, String reason, boolean sent) {
        Outcome outcome = sent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        return CallResult.Refused.of(
                CatkinException.of(
                        ErrorCode.SERVICE_UNREACHABLE,
                        Step.SEND,
                        call.service().value(),
                        outcome,
                        reason,
                        null));
    }

    private static String reasonOf(ServiceReply reply) {
        return reply instanceof ServiceReply.NotConnected failed
                ? failed.reason()
                : ((ServiceReply.Lost) reply).reason();
    }
}
