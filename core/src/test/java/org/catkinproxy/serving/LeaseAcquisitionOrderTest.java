package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkinproxy.id.InstanceId;

import java.util.ArrayList;
import java.util.List;

/**
 * Tests that few instances try to acquire a lease that all of them need, and that one always tries
 * eventually.
 */
class LeaseAcquisitionOrderTest {
    private static final long LONG_NANOS = 60 * Samples.NANOS_PER_SECOND;

    @Property
    void oneInstanceTriesAtOnceAndAllEventually(
            @ForAll @IntRange(min = 1, max = 90) int instances) {
        List<InstanceId> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            all.add(InstanceId.of("edge-" + i));
        }
        List<Integer> positions =
                all.stream().map(i -> LeaseAcquisitionOrder.position(i, all)).toList();

        assertThat(
                        positions.stream()
                                .filter(
                                        p ->
                                                LeaseAcquisitionOrder.shouldTryAcquire(
                                                        p, 0, LONG_NANOS))
                                .count())
                .isEqualTo(1);
        assertThat(
                        positions.stream()
                                .allMatch(
                                        p ->
                                                LeaseAcquisitionOrder.shouldTryAcquire(
                                                        p,
                                                        5 * Samples.NANOS_PER_SECOND,
                                                        LONG_NANOS)))
                .isTrue();
    }

    @Example
    void noInstanceTriesWhileTheHolderIsAlive() {
        assertThat(
                        LeaseAcquisitionOrder.shouldTryAcquire(
                                0, LONG_NANOS, 500 * Samples.NANOS_PER_MILLI))
                .isFalse();
        assertThat(LeaseAcquisitionOrder.shouldTryAcquire(3, LONG_NANOS, LONG_NANOS)).isTrue();
    }

    /** Guards against a call to the store by each instance of a large fleet after each rollout. */
    @Example
    void onlyTheFirstInstancesObserveTheLease() {
        assertThat(LeaseAcquisitionOrder.shouldObserve(0)).isTrue();
        assertThat(LeaseAcquisitionOrder.shouldObserve(2)).isTrue();
        assertThat(LeaseAcquisitionOrder.shouldObserve(3)).isFalse();
    }
}
