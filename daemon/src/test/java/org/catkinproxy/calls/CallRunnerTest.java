package org.catkinproxy.calls;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.calls.FakeTables.Fault;
import org.catkinproxy.config.RequestKind;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.service.OkHttpServiceClient;
import org.catkinproxy.service.ServiceClient;
import org.catkinproxy.standin.service.ServiceStandin;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Filings through real sockets, over two routers, to a service that runs whatever it is sent. */
class CallRunnerTest implements AutoCloseable {
    private static final byte[] RECEIPT_KEY = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
    private static final Duration LONG = Duration.ofSeconds(30);
    private static final Duration SHORT = Duration.ofSeconds(2);
    private static final int MANY = 1_000_000;

    private final FakeTables mTables = new FakeTables();
    private final ServiceStandin mService = ServiceStandin.start(0);
    private final ServiceClient mClient = OkHttpServiceClient.create();
    private final CallRunner mFirst = router("r1");
    private final CallRunner mSecond = router("r2");

    /** A router on a clock of the test's own, for what happens at deadlines. */
    private final TestScheduler mClock = new TestScheduler();

    private final CallRunner mThird = router("r3", mClock);

    @Override
    public void close() {
        mFirst.dispose();
        mSecond.dispose();
        mThird.dispose();
        mService.close();
    }

    @Example
    void retriesThroughAnyRouterGetTheRecordedAnswer() {
        ServiceAnswer answer = answered(mFirst.run(filing().build()));
        assertThat(answer.replayed()).isFalse();
        ServiceAnswer again = answered(mSecond.run(filing().build()));
        assertThat(again).isEqualTo(new ServiceAnswer(answer.answer(), answer.attempt(), true));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void concurrentAttemptsGetOneAnswer() {
        mService.fault(org.catkinproxy.standin.Fault.of("late"));
        Single<CallResult> one = mFirst.run(filing().build());
        Single<CallResult> two = mSecond.run(filing().build());
        assertThat(answered(one).answer()).isEqualTo(answered(two).answer());
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void refusesMissingKeysAndOtherBodies() {
        assertThat(refused(mFirst.run(filing().key(null).build())).error().code())
                .isEqualTo(ErrorCode.MISSING_IDEMPOTENCY_KEY);
        answered(mFirst.run(filing().build()));
        assertThat(refused(mSecond.run(filing().body("other").build())).error().code())
                .isEqualTo(ErrorCode.IDEMPOTENCY_KEY_REUSED);
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void lostAndCrossedAnswersAreRecoveredFromTheService() {
        for (String fault : List.of("answer_lost", "crossed")) {
            mService.fault(org.catkinproxy.standin.Fault.of(fault).times(1));
            ServiceCall call = filing().key(fault).build();
            ServiceAnswer answer = answered(mFirst.run(call));
            assertThat(new String(answer.body(), StandardCharsets.UTF_8)).contains(fault);
            assertThat(mService.executions(fault)).isEqualTo(1);
        }
    }

    @Example
    void withoutStatusTheOutcomeStaysUnknownAtEveryRouter() {
        mService.fault(org.catkinproxy.standin.Fault.of("answer_lost").times(1));
        FilingBuilder call = filing().ownsKeys(false);
        CallResult.Refused refusal = refused(mFirst.run(call.build()));
        assertThat(refusal.error().code()).isEqualTo(ErrorCode.CALL_OUTCOME_UNKNOWN);
        assertThat(refusal.error().outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(refusal.receipt()).isEmpty();
        CallResult.Refused rival = refusedAtDeadline(call);
        assertThat(rival.error().code()).isEqualTo(ErrorCode.CALL_IN_PROGRESS);
        assertThat(rival.error().outcome()).isEqualTo(Outcome.UNKNOWN);
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void silenceAfterSendingIsNeverCalledNotRun() {
        mService.fault(org.catkinproxy.standin.Fault.of("blackhole").times(1));
        CallResult.Refused refusal = refusedAtDeadline(filing());
        assertThat(refusal.error().outcome()).isEqualTo(Outcome.UNKNOWN);
    }

    @Example
    void lostAnswersOfTheClaimAreSettledByReadingBack() {
        mTables.fault(Fault.ANSWER_LOST, 0, 1);
        answered(mFirst.run(filing().build()));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void storeOutageEndsInTrueRefusalAndReceiptedRetryRuns() {
        mTables.fault(Fault.DOWN, 0, MANY);
        CallResult.Refused refusal = refusedAtDeadline(filing());
        assertThat(refusal.error().outcome()).isEqualTo(Outcome.NOT_RUN);
        assertThat(executions()).isEqualTo(0);
        mTables.mend();
        answered(mSecond.run(filing().receipt(refusal.receipt()).build()));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void claimsThatLandAfterTheRefusalBlockNobodyWithReceipt() {
        mTables.fault(Fault.DELAYED, 0, MANY);
        CallResult.Refused refusal = refusedAtDeadline(filing());
        assertThat(refusal.error().outcome()).isEqualTo(Outcome.NOT_RUN);
        mThird.dispose();
        mTables.mend();
        mTables.landDelayed();
        answered(mSecond.run(filing().receipt(refusal.receipt()).build()));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void answersArriveThoughTheyCanNotBeRecordedYet() {
        mTables.fault(Fault.DOWN, 1, MANY);
        ServiceAnswer answer = answered(mFirst.run(filing().build()));
        mTables.mend();
        ServiceAnswer again = answered(mSecond.run(filing().ownsKeys(false).build()));
        assertThat(again.answer()).isEqualTo(answer.answer());
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void callersThatGoAwayCancelNothing() {
        mService.fault(org.catkinproxy.standin.Fault.of("late").times(1));
        mFirst.run(filing().build()).subscribe().dispose();
        answered(mSecond.run(filing().ownsKeys(false).build()));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void unreachableServicesAreRefusedAsNotRunAndTheKeyIsFreeAgain() throws Exception {
        ServiceInstance dead = new ServiceInstance(InstanceId.of("s0"), closedPort());
        CallResult.Refused refusal = refused(mFirst.run(filing().instances(dead).build()));
        assertThat(refusal.error().code()).isEqualTo(ErrorCode.SERVICE_UNREACHABLE);
        assertThat(refusal.error().outcome()).isEqualTo(Outcome.NOT_RUN);
        answered(mSecond.run(filing().build()));
        assertThat(executions()).isEqualTo(1);
    }

    @Example
    void nextInstanceIsTriedIfNoConnectionWasEstablished() throws Exception {
        ServiceInstance dead = new ServiceInstance(InstanceId.of("s0"), closedPort());
        answered(mFirst.run(filing().instances(dead, live()).build()));
        answered(mFirst.run(filing().kind(RequestKind.NORMAL).instances(dead, live()).build()));
    }

    @Example
    void idempotentCallsAreRepeatedAfterLostAnswers() {
        mService.fault(org.catkinproxy.standin.Fault.of("answer_lost").times(1));
        answered(mFirst.run(filing().kind(RequestKind.NORMAL).build()));
        assertThat(executions()).isEqualTo(2);
    }

    private int executions() {
        return mService.executions("k1");
    }

    private ServiceInstance live() {
        return new ServiceInstance(InstanceId.of("s1"), mService.address());
    }

    private FilingBuilder filing() {
        return new FilingBuilder(live());
    }

    private CallResult.Refused refusedAtDeadline(FilingBuilder call) {
        TestObserver<CallResult> result = mThird.run(call.timeout(SHORT).build()).test();
        mClock.advanceTimeBy(SHORT.toMillis(), TimeUnit.MILLISECONDS);
        return (CallResult.Refused) result.values().get(0);
    }

    private CallRunner router(String name) {
        return router(name, Schedulers.computation());
    }

    private CallRunner router(String name, Scheduler scheduler) {
        CallSettings settings =
                new CallSettings(InstanceId.of(name), RECEIPT_KEY, CallSettings.DEFAULT_RETENTION);
        return CallRunner.create(settings, mTables, mTables, mClient, scheduler);
    }

    private static String closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static ServiceAnswer answered(Single<CallResult> result) {
        CallResult got = result.blockingGet();
        assertThat(got).isInstanceOf(CallResult.Answered.class);
        return ((CallResult.Answered) got).answer();
    }

    private static CallResult.Refused refused(Single<CallResult> result) {
        CallResult got = result.blockingGet();
        assertThat(got).isInstanceOf(CallResult.Refused.class);
        return (CallResult.Refused) got;
    }

    /** Builds a filing, by default one that should succeed. */
    private static final class FilingBuilder {
        private List<ServiceInstance> mInstances;
        private Optional<IdempotencyKey> mKey = Optional.of(IdempotencyKey.of("k1"));
        private String mBody = "coating 7";
        private RequestKind mKind = RequestKind.FILING;
        private Duration mTimeout = LONG;
        private Optional<String> mReceipt = Optional.empty();
        private boolean mOwnsKeys = true;

        FilingBuilder(ServiceInstance instance) {
            mInstances = List.of(instance);
        }

        FilingBuilder key(String key) {
            mKey = Optional.ofNullable(key).map(IdempotencyKey::of);
            return this;
        }

        FilingBuilder body(String body) {
            mBody = body;
            return this;
        }

        FilingBuilder kind(RequestKind kind) {
            mKind = kind;
            return this;
        }

        FilingBuilder timeout(Duration timeout) {
            mTimeout = timeout;
            return this;
        }

        FilingBuilder receipt(Optional<String> receipt) {
            mReceipt = receipt;
            return this;
        }

        FilingBuilder ownsKeys(boolean ownsKeys) {
            mOwnsKeys = ownsKeys;
            return this;
        }

        FilingBuilder instances(ServiceInstance... instances) {
            mInstances = List.of(instances);
            return this;
        }

        ServiceCall build() {
            return new ServiceCall(
                    WorkspaceId.of("w1"),
                    ServiceId.of("register"),
                    "POST",
                    "/filings",
                    "text/plain",
                    mBody.getBytes(StandardCharsets.UTF_8),
                    mKey,
                    mKind,
                    mInstances,
                    mTimeout,
                    mReceipt,
                    mOwnsKeys);
        }
    }
}
