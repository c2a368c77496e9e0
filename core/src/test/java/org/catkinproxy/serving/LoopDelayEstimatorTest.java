package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Replays the turns of an event loop that keeps up, falls behind and recovers. */
class LoopDelayEstimatorTest {
    private static final long MILLI = 1_000_000L;
    private static final long INTERVAL = 250 * MILLI;

    private final LoopDelayEstimator mEstimator = LoopDelayEstimator.of(INTERVAL, 0);

    @Example
    void loopThatKeepsUpHasNoDelay() {
        for (int i = 1; i < 10; i++) {
            mEstimator.onTick(i * INTERVAL + i * MILLI);
            assertThat(mEstimator.waitNanos(i * INTERVAL + 100 * MILLI)).isEqualTo(0);
        }
    }

    @Example
    void overdueTaskShowsTheDelayOfTheTurnThatRuns() {
        mEstimator.onTick(INTERVAL);
        assertThat(mEstimator.turnNanos(INTERVAL + 2_000 * MILLI)).isEqualTo(2_000 * MILLI);
        assertThat(mEstimator.waitNanos(INTERVAL + 2_000 * MILLI)).isEqualTo(1_000 * MILLI);
    }

    /** What arrived during a long turn is read only after the task has run. */
    @Example
    void delayOfLongTurnHoldsUntilTheNextTick() {
        mEstimator.onTick(INTERVAL);
        long late = INTERVAL + 2_000 * MILLI;
        mEstimator.onTick(late);
        assertThat(mEstimator.waitNanos(late + 10 * MILLI)).isEqualTo(1_000 * MILLI);

        mEstimator.onTick(late + INTERVAL);
        assertThat(mEstimator.waitNanos(late + INTERVAL + 10 * MILLI)).isEqualTo(0);
    }
}
