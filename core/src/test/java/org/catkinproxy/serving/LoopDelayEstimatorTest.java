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
            assertThat(mEstimator.maxWaitNanos(i * INTERVAL + 100 * MILLI, 0, 0)).isEqualTo(0);
        }
    }

    @Example
    void overdueTaskShowsTheDelayOfTheTurnThatRuns() {
        mEstimator.onTick(INTERVAL);
        assertThat(mEstimator.turnNanos(INTERVAL + 2_000 * MILLI)).isEqualTo(2_000 * MILLI);
        assertThat(mEstimator.maxWaitNanos(INTERVAL + 2_000 * MILLI, 0, 0))
                .isEqualTo(2_000 * MILLI);
    }

    /** What arrived during a long turn is read only after the task has run. */
    @Example
    void delayOfLongTurnHoldsUntilTheNextTick() {
        mEstimator.onTick(INTERVAL);
        long late = INTERVAL + 2_000 * MILLI;
        mEstimator.onTick(late);
        assertThat(mEstimator.maxWaitNanos(late + 10 * MILLI, 0, 0)).isEqualTo(2_000 * MILLI);

        mEstimator.onTick(late + INTERVAL);
        assertThat(mEstimator.maxWaitNanos(late + INTERVAL + 10 * MILLI, 0, 0)).isEqualTo(0);
    }

    /** A connection waits for one turn, and its first data may have waited as long. */
    @Example
    void dataOfNewConnectionMayHaveWaitedForBothTurns() {
        mEstimator.onTick(2_000 * MILLI);
        long acceptedAt = 2_010 * MILLI;
        long acceptTurn = mEstimator.turnNanos(acceptedAt);
        mEstimator.onTick(3_500 * MILLI);

        assertThat(mEstimator.maxWaitNanos(3_500 * MILLI, acceptedAt, acceptTurn))
                .isEqualTo(1_490 * MILLI + 2_000 * MILLI);
        assertThat(mEstimator.maxWaitNanos(3_500 * MILLI, 10 * MILLI, acceptTurn))
                .isEqualTo(1_500 * MILLI);
    }

    /** Guards against forgetting a wait because the task that ran late is catching up. */
    @Example
    void firstDataOfConnectionAcceptedWhileTheTaskCatchesUpHasWaitedAsLongAsTheConnection() {
        mEstimator.onTick(2_500 * MILLI);
        long acceptedAt = 2_510 * MILLI;
        long acceptWait = mEstimator.maxWaitNanos(acceptedAt);
        mEstimator.onTick(2_520 * MILLI);

        assertThat(mEstimator.maxWaitNanos(2_530 * MILLI, acceptedAt, acceptWait))
                .isEqualTo(20 * MILLI + 2_500 * MILLI);

        mEstimator.onTick(2_540 * MILLI);
        assertThat(mEstimator.maxWaitNanos(2_550 * MILLI, acceptedAt, acceptWait)).isEqualTo(0);
    }

    /** Guards against counting only the longer one of two long turns that follow each other. */
    @Example
    void dataThatArrivedBeforeTheTaskRanLateMayHaveWaitedForTwoTurns() {
        mEstimator.onTick(INTERVAL);
        mEstimator.onTick(INTERVAL + 1_000 * MILLI);

        assertThat(mEstimator.maxWaitNanos(INTERVAL + 1_700 * MILLI)).isEqualTo(1_700 * MILLI);
    }
}
