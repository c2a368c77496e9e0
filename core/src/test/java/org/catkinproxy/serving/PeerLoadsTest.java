package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.PeerLoads.Load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Tests that the loads of peers are added up, and that a peer's load expires. */
class PeerLoadsTest {
    /** In a large fleet most instances have not seen a stream of an engine end. */
    @Example
    void instancesThatDoNotKnowTheSpeedDoNotChangeTheMean() {
        PeerLoads loads = PeerLoads.create();
        Load load = new Load(2, 0);
        loads.update(
                InstanceId.of("a"), Map.of(ENGINE, load.withNanosPerOutputToken(8_000_000)), 0);
        loads.update(InstanceId.of("b"), Map.of(ENGINE, load), 0);
        loads.update(
                InstanceId.of("c"), Map.of(ENGINE, load.withNanosPerOutputToken(4_000_000)), 0);

        assertThat(loads.total(ENGINE).requests()).isEqualTo(6);
        assertThat(loads.total(ENGINE).nanosPerOutputToken()).isWithin(1).of(6_000_000);
    }

    private static final long TTL_NANOS = 1_000;
    private static final InstanceId ENGINE = InstanceId.of("engine");

    @Example
    void newReportReplacesTheEarlierOne() {
        PeerLoads loads = PeerLoads.create();
        loads.update(InstanceId.of("a"), Map.of(ENGINE, new Load(3, 900)), 0);
        loads.update(InstanceId.of("b"), Map.of(ENGINE, new Load(1, 50)), 0);
        loads.update(InstanceId.of("a"), Map.of(ENGINE, new Load(2, 100)), 1);

        assertThat(loads.total(ENGINE)).isEqualTo(new Load(3, 150));
        assertThat(loads.peerCount()).isEqualTo(2);
    }

    @Example
    void reportExpiresAfterTheTtl() {
        PeerLoads loads = PeerLoads.create();
        loads.update(InstanceId.of("a"), Map.of(ENGINE, new Load(3, 900)), 0);

        loads.expire(TTL_NANOS, TTL_NANOS);
        assertThat(loads.total(ENGINE).requests()).isEqualTo(3);

        loads.expire(TTL_NANOS + 1, TTL_NANOS);
        assertThat(loads.total(ENGINE)).isEqualTo(new Load(0, 0));
        assertThat(loads.peerCount()).isEqualTo(0);
    }

    /** The incrementally maintained totals must equal sums over the latest report of each peer. */
    @Property
    void totalsEqualRecomputedSums(
            @ForAll @Size(max = 60) List<@IntRange(max = 3 * 4 * 5 - 1) Integer> steps) {
        PeerLoads loads = PeerLoads.create();
        Map<Integer, Map<InstanceId, Load>> naive = new HashMap<>();
        for (int step : steps) {
            int peer = step % 3;
            Map<InstanceId, Load> peerLoads =
                    Map.of(upstream(step / 3 % 4), new Load(step / 12, 7L * step));
            loads.update(InstanceId.of("peer-" + peer), peerLoads, 0);
            naive.put(peer, peerLoads);
        }
        for (int i = 0; i < 4; i++) {
            InstanceId id = upstream(i);
            int requests = 0;
            long tokens = 0;
            for (Map<InstanceId, Load> peerLoads : naive.values()) {
                requests += peerLoads.getOrDefault(id, new Load(0, 0)).requests();
                tokens += peerLoads.getOrDefault(id, new Load(0, 0)).pendingTokens();
            }
            assertThat(loads.total(id)).isEqualTo(new Load(requests, tokens));
        }
    }

    private static InstanceId upstream(int number) {
        return InstanceId.of("upstream-" + number);
    }
}
