package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import java.time.Duration;
import java.util.SplittableRandom;

/**
 * Tests that the total number of messages of a fleet grows more slowly than the square of its
 * number of instances.
 */
class FleetIntervalsTest {
    private static final Duration STRICTEST_DRAIN_TIME = Duration.ofSeconds(2);

    /**
     * A draining upstream must get no requests from two seconds after its announcement in the
     * strictest deployment.
     */
    @Property
    void upstreamChangesAreSeenWithinTwoSeconds(
            @ForAll @IntRange(min = 1, max = 2_000) int instances) {
        assertThat(FleetIntervals.upstreamPollDelay(instances, STRICTEST_DRAIN_TIME))
                .isLessThan(Duration.ofSeconds(1));
    }

    /**
     * A rollout of weights changes a row about every 100 ms; without accumulation each change would
     * wake every instance.
     */
    @Property
    void rolloutCausesFewPollsPerInstance(@ForAll @IntRange(min = 20, max = 2_000) int instances) {
        Duration delay = FleetIntervals.upstreamPollDelay(instances, Duration.ofSeconds(4));
        assertThat(delay).isAtLeast(Duration.ofSeconds(1));
    }

    /** Polls of all instances end one after the other, so that one of them soon sees a change. */
    @Property
    void somePollOfTheFleetEndsEachSecond(@ForAll @IntRange(min = 3, max = 2_000) int instances) {
        Duration timeout = FleetIntervals.pollTimeout(instances, new SplittableRandom(instances));
        assertThat(timeout.dividedBy(instances)).isAtMost(Duration.ofSeconds(1));
    }

    @Property
    void largeFleetsPollRarely(@ForAll @IntRange(min = 60, max = 200) int instances) {
        Duration wait = FleetIntervals.pollTimeout(instances, new SplittableRandom(instances));
        assertThat(wait).isGreaterThan(Duration.ofSeconds(10));
        assertThat(wait).isLessThan(Duration.ofSeconds(30));
    }

    @Property
    void heartbeatRatePerInstanceIsBounded(@ForAll @IntRange(min = 1, max = 2_000) int instances) {
        double perSecond =
                instances * 1_000.0 / FleetIntervals.heartbeatInterval(instances).toMillis();
        assertThat(perSecond).isAtMost(67);
    }

    @Property
    void heartbeatTimeoutSpansSeveralHeartbeats(
            @ForAll @IntRange(min = 1, max = 2_000) int instances) {
        Duration interval = FleetIntervals.heartbeatInterval(instances);
        assertThat(FleetIntervals.heartbeatTimeout(instances)).isAtLeast(interval.multipliedBy(3));
    }
}
