package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.PeerLoads.Share;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What peers have open is summed up, and lapses with its peer. */
class PeerLoadsTest {
    private static final long TTL = 1_000;
    private static final InstanceId ENGINE = InstanceId.of("engine");

    @Example
    void newsOfPeerReplaceItsEarlierNews() {
        PeerLoads loads = PeerLoads.create();
        loads.told(InstanceId.of("a"), Map.of(ENGINE, new Share(3, 900)), 0);
        loads.told(InstanceId.of("b"), Map.of(ENGINE, new Share(1, 50)), 0);
        loads.told(InstanceId.of("a"), Map.of(ENGINE, new Share(2, 100)), 1);

        assertThat(loads.at(ENGINE)).isEqualTo(new Share(3, 150));
        assertThat(loads.peers()).isEqualTo(2);
    }

    @Example
    void silentPeerCountsForTheTimeToLive() {
        PeerLoads loads = PeerLoads.create();
        loads.told(InstanceId.of("a"), Map.of(ENGINE, new Share(3, 900)), 0);

        loads.expire(TTL, TTL);
        assertThat(loads.at(ENGINE).requests()).isEqualTo(3);

        loads.expire(TTL + 1, TTL);
        assertThat(loads.at(ENGINE)).isEqualTo(new Share(0, 0));
        assertThat(loads.peers()).isEqualTo(0);
    }

    /** The sums that are kept are those of adding up anew. */
    @Property
    void sumsAreThoseOfAddingUpAnew(
            @ForAll @Size(max = 60) List<@IntRange(max = 3 * 4 * 5 - 1) Integer> steps) {
        PeerLoads loads = PeerLoads.create();
        Map<Integer, Map<InstanceId, Share>> naive = new HashMap<>();
        for (int step : steps) {
            int peer = step % 3;
            Map<InstanceId, Share> shares =
                    Map.of(upstream(step / 3 % 4), new Share(step / 12, 7L * step));
            loads.told(InstanceId.of("peer-" + peer), shares, 0);
            naive.put(peer, shares);
        }
        for (int i = 0; i < 4; i++) {
            InstanceId id = upstream(i);
            int requests = 0;
            long tokens = 0;
            for (Map<InstanceId, Share> shares : naive.values()) {
                requests += shares.getOrDefault(id, new Share(0, 0)).requests();
                tokens += shares.getOrDefault(id, new Share(0, 0)).pendingTokens();
            }
            assertThat(loads.at(id)).isEqualTo(new Share(requests, tokens));
        }
    }

    private static InstanceId upstream(int number) {
        return InstanceId.of("upstream-" + number);
    }
}
