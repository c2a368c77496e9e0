package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Tests how long a request waits for the limit of an upstream. */
class LimitWaitPolicyTest {
    /** Its latency target is 200 ms. */
    private static final Route ROUTE = Samples.route(CallKind.IDEMPOTENT, false, 2);

    private static boolean mayWait(long waitMillis, long leftMillis) {
        return LimitWaitPolicy.mayWait(
                ROUTE, waitMillis * Samples.NANOS_PER_MILLI, leftMillis * Samples.NANOS_PER_MILLI);
    }

    @Example
    void requestWaitsForPartOfItsLatencyTarget() {
        assertThat(mayWait(10, 1_000)).isTrue();
        assertThat(mayWait(60, 1_000)).isTrue();
        assertThat(mayWait(61, 1_000)).isFalse();
    }

    @Example
    void requestThatWouldBeTooLateDoesNotWait() {
        assertThat(mayWait(50, 70)).isTrue();
        assertThat(mayWait(50, 69)).isFalse();
    }
}
