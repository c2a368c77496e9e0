package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkinproxy.id.InstanceId;

import java.util.ArrayList;
import java.util.List;

/** Few instances ask for a lease that all of them need, and one always does in the end. */
class LeaseTurnTest {
    private static final long LONG = 60 * Samples.SECOND;

    @Property
    void oneInstanceAsksAtOnceAndAllInTheEnd(@ForAll @IntRange(min = 1, max = 90) int instances) {
        List<InstanceId> all = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            all.add(InstanceId.of("edge-" + i));
        }
        List<Integer> turns = all.stream().map(i -> LeaseTurn.turn(i, all)).toList();

        assertThat(turns.stream().filter(t -> LeaseTurn.asks(t, 0, LONG)).count()).isEqualTo(1);
        assertThat(turns.stream().allMatch(t -> LeaseTurn.asks(t, 5 * Samples.SECOND, LONG)))
                .isTrue();
    }

    @Example
    void nobodyAsksWhileTheHolderIsHeardOf() {
        assertThat(LeaseTurn.asks(0, LONG, 500 * Samples.MILLI)).isFalse();
        assertThat(LeaseTurn.asks(3, LONG, LONG)).isTrue();
    }
}
