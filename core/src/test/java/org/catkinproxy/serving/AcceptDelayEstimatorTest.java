package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Replays the turns in which an event loop accepts connections, four in each turn at most. */
class AcceptDelayEstimatorTest {
    private static final long MILLI = 1_000_000L;
    private static final int MAX_PER_TURN = 4;

    private final AcceptDelayEstimator mEstimator = AcceptDelayEstimator.of(MAX_PER_TURN);

    private long accept(int count, long now, long turnWaitNanos) {
        long waitNanos = 0;
        for (int i = 0; i < count; i++) {
            waitNanos = mEstimator.onAccept(now, turnWaitNanos);
        }
        mEstimator.onTurnEnd();
        return waitNanos;
    }

    @Example
    void connectionToLoopThatKeepsUpHasNotWaited() {
        assertThat(accept(1, 1_000 * MILLI, 0)).isEqualTo(0);
        assertThat(accept(3, 5_000 * MILLI, 0)).isEqualTo(0);
    }

    /** Guards against counting only the last turn of a connection that waited for several. */
    @Example
    void connectionThatWaitedForSeveralTurnsCountsAllOfThem() {
        assertThat(accept(4, 3_000 * MILLI, 2_000 * MILLI)).isEqualTo(2_000 * MILLI);
        assertThat(accept(4, 4_000 * MILLI, 1_000 * MILLI)).isEqualTo(3_000 * MILLI);
        assertThat(accept(2, 4_100 * MILLI, 0)).isEqualTo(3_100 * MILLI);
    }

    @Example
    void waitBeginsAnewOnceTheQueueWasEmptied() {
        accept(4, 3_000 * MILLI, 2_000 * MILLI);
        accept(3, 4_000 * MILLI, 1_000 * MILLI);

        assertThat(mEstimator.isEmptied()).isTrue();
        assertThat(accept(1, 4_500 * MILLI, 500 * MILLI)).isEqualTo(500 * MILLI);
    }

    /** Guards against counting idle time after a turn that took exactly what was in the queue. */
    @Example
    void turnThatFindsNoConnectionShowsAnEmptyQueue() {
        accept(4, 3_000 * MILLI, 0);
        assertThat(mEstimator.isEmptied()).isFalse();
        mEstimator.onTurnEnd();

        assertThat(mEstimator.isEmptied()).isTrue();
        assertThat(accept(1, 60_000 * MILLI, 0)).isEqualTo(0);
    }
}
