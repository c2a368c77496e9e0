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
        assertThat(mPolicy.accepts(millis(5_800), Duration.ZERO, millis(1_000))).isTrue();
        assertThat(mPolicy.accepts(millis(6_000), Duration.ZERO, millis(1_000))).isFalse();
        assertThat(mPolicy.accepts(millis(7_100), Duration.ZERO, millis(1_000))).isFalse();
    }

    /** Guards against a signal that is heard up to half a second late. */
    @Example
    void allRequestsAreAcceptedAtFirst() {
        assertThat(mPolicy.accepts(millis(2_400), Duration.ZERO, millis(15_000))).isTrue();
        assertThat(mPolicy.accepts(millis(2_500), Duration.ZERO, millis(15_000))).isFalse();
    }

    @Property(seed = "20261205")
    void acceptedRequestHasItsResponseBeforeTheEnd(
            @ForAll @IntRange(min = 2_500, max = 8_000) int elapsed,
            @ForAll @IntRange(min = 1, max = 9_000) int timeout) {
        if (mPolicy.accepts(millis(elapsed), Duration.ZERO, millis(timeout))) {
            assertThat(mPolicy.ends(millis(elapsed + timeout), Duration.ZERO, false)).isFalse();
        }
    }

    @Example
    void instanceEndsOnceDrainedButNotAtOnce() {
        assertThat(mPolicy.ends(millis(3_000), Duration.ZERO, true)).isFalse();
        assertThat(mPolicy.ends(millis(3_200), Duration.ZERO, true)).isTrue();
        assertThat(mPolicy.ends(millis(7_100), Duration.ZERO, false)).isFalse();
        assertThat(mPolicy.ends(millis(7_300), Duration.ZERO, false)).isTrue();
    }

    /** Guards against an event loop that stays late and misses the platform's kill. */
    @Example
    void lateLoopBringsTheEndForward() {
        assertThat(mPolicy.ends(millis(6_900), millis(200), false)).isTrue();
        assertThat(mPolicy.ends(millis(6_700), millis(200), false)).isFalse();
        assertThat(mPolicy.accepts(millis(5_800), millis(200), millis(1_000))).isFalse();
    }

    /** Streams may be cut in the last sixth of the grace period only. */
    @Property(seed = "20261205")
    void openRequestsGoOnUntilTheLastSixthOfTheGracePeriod(
            @ForAll @IntRange(min = 0, max = 6_666) int elapsed,
            @ForAll @IntRange(min = 0, max = 60_000) int loopDelay) {
        assertThat(mPolicy.ends(millis(elapsed), millis(loopDelay), false)).isFalse();
    }
}
