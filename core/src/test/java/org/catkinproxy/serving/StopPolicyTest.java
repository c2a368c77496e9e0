package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import java.time.Duration;

/** A stopping instance accepts no request that its end might cut off. */
class StopPolicyTest {
    private final StopPolicy mPolicy = new StopPolicy(Duration.ofSeconds(8));

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    @Example
    void requestThatTimesOutAfterTheEndIsRefused() {
        assertThat(mPolicy.accepts(millis(6_200), millis(1_000))).isTrue();
        assertThat(mPolicy.accepts(millis(6_400), millis(1_000))).isFalse();
        assertThat(mPolicy.accepts(millis(7_500), millis(1_000))).isFalse();
    }

    @Example
    void allRequestsAreAcceptedAtFirst() {
        assertThat(mPolicy.accepts(millis(2_800), millis(15_000))).isTrue();
        assertThat(mPolicy.accepts(millis(3_000), millis(15_000))).isFalse();
    }

    @Property(seed = "20261205")
    void acceptedRequestHasItsResponseBeforeTheEnd(
            @ForAll @IntRange(min = 2_900, max = 8_000) int elapsed,
            @ForAll @IntRange(min = 1, max = 9_000) int timeout) {
        if (mPolicy.accepts(millis(elapsed), millis(timeout))) {
            assertThat(mPolicy.ends(millis(elapsed + timeout), false)).isFalse();
        }
    }

    @Example
    void instanceEndsOnceDrainedButNotAtOnce() {
        assertThat(mPolicy.ends(millis(3_000), true)).isFalse();
        assertThat(mPolicy.ends(millis(3_200), true)).isTrue();
        assertThat(mPolicy.ends(millis(7_500), false)).isFalse();
        assertThat(mPolicy.ends(millis(7_700), false)).isTrue();
    }
}
