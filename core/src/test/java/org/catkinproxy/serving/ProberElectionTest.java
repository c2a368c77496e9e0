package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Tests that a fleet has one prober, and another one soon after it has failed. */
class ProberElectionTest {
    private static final long NOW = 100_000_000_000L;
    private static final OptionalLong LONG_ELIGIBLE = OptionalLong.of(0);

    @Property
    void fleetHasOneProber(@ForAll @IntRange(min = 1, max = 60) int instances) {
        assertThat(probers(instances, 0, Duration.ofMillis(700))).containsExactly(0);
    }

    @Property
    void nextInstanceTakesOverFromSilentOne(@ForAll @IntRange(min = 2, max = 60) int instances) {
        assertThat(probers(instances, 1, Duration.ofMillis(950))).containsExactly(1);
    }

    /** The instances after the candidates are rarely told that the prober runs. */
    @Example
    void onlyCandidatesTakeOverFromSilentInstances() {
        assertThat(probers(30, 7, Duration.ofMillis(1_600))).containsExactly(7);
        assertThat(probers(30, 8, Duration.ofMillis(3_400))).isEmpty();
    }

    /** Guards against polls with short waits at all instances while none is ready. */
    @Example
    void instanceThatIsNotEligibleIsNoProber() {
        assertThat(ProberElection.isProber(id(0), OptionalLong.empty(), List.of(), NOW)).isFalse();
    }

    /** Guards against the same at a common start, when no instance knows another one yet. */
    @Example
    void instanceWaitsForOthersOnceItIsEligible() {
        OptionalLong since = OptionalLong.of(NOW - Duration.ofMillis(700).toNanos());
        assertThat(ProberElection.isProber(id(0), since, List.of(), NOW)).isFalse();
        long later = NOW + Duration.ofMillis(100).toNanos();
        assertThat(ProberElection.isProber(id(0), since, List.of(), later)).isTrue();
    }

    @Example
    void instanceThatDoesNotReachTheStoreIsNoProber() {
        List<ProberElection.Peer> peers = List.of(new ProberElection.Peer(id(0), false, NOW));
        assertThat(ProberElection.isProber(id(1), LONG_ELIGIBLE, peers, NOW)).isTrue();
    }

    @Example
    void candidatesAreTheInstancesThatFollowTheProber() {
        List<InstanceId> peers = new ArrayList<>();
        for (int i = 20; i > 0; i--) {
            peers.add(id(i));
        }
        assertThat(ProberElection.candidates(peers))
                .containsExactly(id(1), id(2), id(3), id(4), id(5), id(6), id(7))
                .inOrder();
    }

    /** Returns the probers if the first {@code silent} instances have been silent for a time. */
    private static List<Integer> probers(int instances, int silent, Duration silence) {
        List<Integer> probers = new ArrayList<>();
        for (int i = silent; i < instances && i <= silent + 2; i++) {
            List<ProberElection.Peer> peers = new ArrayList<>();
            for (int j = 0; j < instances; j++) {
                long lastSeenAt = j < silent ? NOW - silence.toNanos() : NOW;
                if (j != i) {
                    peers.add(new ProberElection.Peer(id(j), true, lastSeenAt));
                }
            }
            if (ProberElection.isProber(id(i), LONG_ELIGIBLE, peers, NOW)) {
                probers.add(i);
            }
        }
        return probers;
    }

    private static InstanceId id(int index) {
        return InstanceId.of("edge-%02d".formatted(index));
    }
}
