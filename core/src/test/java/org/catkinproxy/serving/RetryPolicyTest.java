package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryPolicyTest {
    private static final long AMPLE_TIME_NANOS = Samples.NANOS_PER_SECOND;

    @Property
    void requestThatMayHaveRunIsRetriedOnlyIfSafe(
            @ForAll SendFailure failure,
            @ForAll CallKind kind,
            @ForAll boolean resumable,
            @ForAll @IntRange(min = 1, max = 3) int attempts,
            @ForAll @IntRange(max = 4) int executions,
            @ForAll @IntRange(max = 5) int rejections) {
        Route route = Samples.route(kind, resumable, attempts);
        boolean mayRetry =
                RetryPolicy.mayRetry(route, failure, executions, rejections, AMPLE_TIME_NANOS);

        boolean mayHaveExecuted = executions > 0 || !failure.isNotRun();
        if (mayHaveExecuted && !kind.isSafeToRetry(resumable)) {
            assertThat(mayRetry).isFalse();
        }
        if (executions >= attempts) {
            assertThat(mayRetry).isFalse();
        }
    }

    @Example
    void rejectedAtMostOnceRequestIsRetried() {
        Route atMostOnce = Samples.route(CallKind.AT_MOST_ONCE, false, 1);
        assertThat(RetryPolicy.mayRetry(atMostOnce, SendFailure.REJECTED, 0, 1, AMPLE_TIME_NANOS))
                .isTrue();
        assertThat(
                        RetryPolicy.mayRetry(
                                atMostOnce, SendFailure.NOT_CONNECTED, 0, 0, AMPLE_TIME_NANOS))
                .isTrue();
    }

    @Example
    void onlyBegunStreamResumesFromBackup() {
        Route stream = Samples.route(CallKind.STREAM, false, 1);
        for (SendFailure failure : SendFailure.values()) {
            boolean isBroken = failure == SendFailure.BROKEN || failure == SendFailure.SILENT;
            assertThat(RetryPolicy.mayResumeFromBackup(stream, failure, true, AMPLE_TIME_NANOS))
                    .isEqualTo(isBroken);
            assertThat(RetryPolicy.mayResumeFromBackup(stream, failure, false, AMPLE_TIME_NANOS))
                    .isFalse();
        }
    }

    @Example
    void requestIsNotRetriedCloseToItsDeadline() {
        Route route = Samples.route(CallKind.IDEMPOTENT, false, 3);
        long timeLeftNanos = 10 * Samples.NANOS_PER_MILLI;
        assertThat(RetryPolicy.mayRetry(route, SendFailure.BROKEN, 1, 0, timeLeftNanos)).isFalse();
    }
}
