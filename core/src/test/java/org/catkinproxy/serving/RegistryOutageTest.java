package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Tests which missing entries are retained after a store outage and which are dropped. */
class RegistryOutageTest {
    private static final InstanceId ID = InstanceId.of("a");

    private final RecordingRegistryListener mEvents = new RecordingRegistryListener();
    private final UpstreamRegistry mRegistry =
            UpstreamRegistry.create(Duration.ofSeconds(2), Duration.ofMillis(1_500), mEvents);

    private List<String> ids() {
        List<String> ids = new ArrayList<>();
        mRegistry.all().forEachRemaining(u -> ids.add(u.id().value()));
        return ids;
    }

    @Example
    void entryLostInOutageIsKeptForTheGracePeriod() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreUnavailable(0, 0);
        mRegistry.onStoreAvailable(20 * Samples.NANOS_PER_SECOND);
        mRegistry.replaceAll(List.of(), 20 * Samples.NANOS_PER_SECOND);

        assertThat(ids()).containsExactly("a");
        assertThat(mRegistry.expire(21 * Samples.NANOS_PER_SECOND)).isFalse();
        assertThat(mRegistry.expire(22 * Samples.NANOS_PER_SECOND)).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** The copy may lack entries of live upstreams, though no call has failed. */
    @Example
    void entryLostInReturnFromCopyIsKeptForTheGracePeriod() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreRestored(20 * Samples.NANOS_PER_SECOND);
        mRegistry.replaceAll(List.of(), 20 * Samples.NANOS_PER_SECOND);

        assertThat(ids()).containsExactly("a");
        assertThat(mRegistry.expire(21 * Samples.NANOS_PER_SECOND)).isFalse();
        assertThat(mRegistry.expire(22 * Samples.NANOS_PER_SECOND)).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** Guards against a grace that a late answer prolongs: the store may be back for a while. */
    @Example
    void entryLostInOutageIsDroppedSoonAfterTheLastFailure() {
        UpstreamRegistry registry = registryWithLongGrace();
        registry.onStoreAvailable(0);
        registry.put(Samples.upstreamWithoutWeights("a"));
        registry.onStoreUnavailable(0, 0);
        registry.onStoreUnavailable(millis(20_000), millis(20_000));
        registry.onStoreRestored(millis(20_600));
        registry.onStoreAvailable(millis(20_600));
        registry.replaceAll(List.of(), millis(20_600));

        assertThat(registry.expire(millis(22_600))).isFalse();
        assertThat(registry.expire(millis(22_700))).isTrue();
    }

    /** Guards against a grace that counts from the end of an attempt that timed out. */
    @Example
    void entryLostInOutageIsDroppedSoonAfterTheStartOfTheLastAttempt() {
        UpstreamRegistry registry = registryWithLongGrace();
        registry.onStoreAvailable(0);
        registry.put(Samples.upstreamWithoutWeights("a"));
        registry.onStoreUnavailable(millis(4_000), millis(2_500));
        registry.onStoreUnavailable(millis(20_500), millis(20_000));
        registry.onStoreAvailable(millis(20_600));
        registry.replaceAll(List.of(), millis(20_600));

        assertThat(registry.expire(millis(22_600))).isFalse();
        assertThat(registry.expire(millis(22_700))).isTrue();
    }

    /** Guards against using an upstream that left while this instance was cut (review case 10). */
    @Example
    void entryRemovedWhileTheStoreAnsweredPeersIsDroppedAtOnce() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        answerPeers(0, 10_000);
        mRegistry.onStoreUnavailable(millis(4_000), millis(2_500));
        mRegistry.onPeerStoreOutage(millis(4_100));
        mRegistry.onStoreAvailable(millis(10_000));
        mRegistry.remove(ID, millis(10_000));

        assertThat(ids()).isEmpty();
    }

    @Example
    void entryLostInOutageThatPeersSawTooIsKept() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        answerPeers(0, 2_000);
        mRegistry.onStoreUnavailable(millis(4_000), millis(2_500));
        mRegistry.onStoreUnavailable(millis(9_900), millis(9_400));
        answerPeers(9_800, 10_000);
        mRegistry.onStoreAvailable(millis(10_000));
        mRegistry.remove(ID, millis(10_000));

        assertThat(ids()).containsExactly("a");
    }

    private void answerPeers(long fromMillis, long toMillis) {
        for (long at = fromMillis; at < toMillis; at += 500) {
            mRegistry.onPeerAnswered(millis(at));
        }
    }

    @Example
    void entryRelistedWithinTheGracePeriodStays() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreUnavailable(0, 0);
        mRegistry.onStoreAvailable(20 * Samples.NANOS_PER_SECOND);
        mRegistry.remove(InstanceId.of("a"), 20 * Samples.NANOS_PER_SECOND);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.expire(30 * Samples.NANOS_PER_SECOND);

        assertThat(ids()).containsExactly("a");
    }

    @Example
    void drainingUpstreamIsNotKept() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstream("a", "1", true, Map.of()));
        mRegistry.onStoreUnavailable(0, 0);
        mRegistry.onStoreAvailable(20 * Samples.NANOS_PER_SECOND);
        mRegistry.remove(InstanceId.of("a"), 20 * Samples.NANOS_PER_SECOND);

        assertThat(ids()).isEmpty();
    }

    private static long millis(long millis) {
        return millis * Samples.NANOS_PER_MILLI;
    }

    /**
     * Guards against using an upstream that left for longer than it drains, as one instance lost
     * one answer of the store.
     */
    @Example
    void entryRemovedAroundFailureOfThisInstanceAloneIsDroppedAfterShortGrace() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreUnavailable(millis(9_900), millis(9_900));
        mRegistry.onStoreUnavailable(millis(10_100), millis(10_100));
        mRegistry.onStoreAvailable(millis(10_200));
        mRegistry.remove(ID, millis(10_300));

        assertThat(mRegistry.expire(millis(11_399))).isFalse();
        assertThat(mRegistry.expire(millis(11_400))).isTrue();
        assertThat(ids()).isEmpty();
    }

    @Example
    void entryLostInOutageThatPeersReportTooIsKeptForTheGracePeriod() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreUnavailable(millis(9_900), millis(9_900));
        assertThat(mRegistry.onPeerStoreOutage(millis(10_000))).isFalse();
        mRegistry.onStoreAvailable(millis(10_200));
        mRegistry.remove(ID, millis(10_300));

        assertThat(mRegistry.expire(millis(12_199))).isFalse();
        assertThat(mRegistry.expire(millis(12_200))).isTrue();
    }

    /**
     * Guards against using an upstream that left, as all instances lost one answer of the store.
     */
    @Example
    void shortOutageOfTheStoreExpiresNoEntry() {
        mRegistry.onStoreAvailable(millis(8_000));
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onStoreUnavailable(millis(9_900), millis(9_900));
        mRegistry.onPeerStoreOutage(millis(10_000));
        mRegistry.onStoreAvailable(millis(10_200));
        mRegistry.remove(ID, millis(10_300));

        assertThat(mRegistry.expire(millis(11_400))).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** Guards against a check of an earlier outage that makes each later failure an outage. */
    @Example
    void failedCheckSaysNothingOfLaterFailures() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.onPeerStoreOutage(millis(4_000));
        mRegistry.onStoreCheckFailed();
        mRegistry.onStoreUnavailable(millis(5_000), millis(5_000));
        mRegistry.onStoreAvailable(millis(9_000));
        mRegistry.onStoreUnavailable(millis(60_000), millis(60_000));
        mRegistry.onStoreAvailable(millis(60_100));
        mRegistry.remove(ID, millis(60_100));

        assertThat(mRegistry.expire(millis(61_500))).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** A peer that is cut from the store reports all the while, and shows nothing of an outage. */
    @Example
    void reportsOfCutPeerDoNotProlongTheGraceAfterShortFailure() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        reportPeerOutage(4_000, 9_900);
        mRegistry.onStoreUnavailable(millis(9_900), millis(9_900));
        mRegistry.onPeerStoreOutage(millis(10_000));
        mRegistry.onStoreAvailable(millis(10_200));
        mRegistry.remove(ID, millis(10_300));

        assertThat(mRegistry.expire(millis(11_400))).isTrue();
        assertThat(ids()).isEmpty();
    }

    /** Lets a peer report an outage for a while; the store answers this instance at once. */
    private void reportPeerOutage(long fromMillis, long toMillis) {
        for (long at = fromMillis; at < toMillis; at += 150) {
            if (mRegistry.onPeerStoreOutage(millis(at))) {
                mRegistry.onStoreChecked(millis(at + 5));
            }
            mRegistry.expire(millis(at));
        }
    }

    /** Guards against using upstreams that left for as long as one peer is cut from the store. */
    @Example
    void entryRemovedWhileOnlyPeerHasOutageIsDroppedAtOnce() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        reportPeerOutage(4_000, 9_000);
        mRegistry.remove(ID, millis(9_000));

        assertThat(ids()).isEmpty();
    }

    @Example
    void entryRemovedAsPeerReportsOutageIsDroppedAfterShortGrace() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        assertThat(mRegistry.onPeerStoreOutage(millis(4_000))).isTrue();
        mRegistry.remove(ID, millis(4_050));
        assertThat(ids()).containsExactly("a");

        mRegistry.onStoreChecked(millis(4_100));
        reportPeerOutage(4_150, 5_550);
        assertThat(ids()).containsExactly("a");
        reportPeerOutage(5_550, 5_750);
        assertThat(ids()).isEmpty();
    }

    /** The open poll of this instance spans the outage, and its peers notice it. */
    @Example
    void entryLostInOutageThatOnlyPeersNoticedIsKept() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        assertThat(mRegistry.onPeerStoreOutage(millis(4_000))).isTrue();
        assertThat(mRegistry.onPeerStoreOutage(millis(4_150))).isFalse();
        mRegistry.onStoreCheckFailed();
        assertThat(mRegistry.onPeerStoreOutage(millis(5_500))).isTrue();

        mRegistry.onStoreAvailable(millis(6_000));
        mRegistry.onStoreChecked(millis(6_000));
        mRegistry.remove(ID, millis(6_000));
        assertThat(mRegistry.expire(millis(7_900))).isFalse();
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.expire(millis(9_000));
        assertThat(ids()).containsExactly("a");
    }

    /** Guards against keeping missing entries for good after a check that failed. */
    @Example
    void failedCheckIsRepeatedAfterPeersStoppedReporting() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        assertThat(mRegistry.onPeerStoreOutage(millis(4_000))).isTrue();
        assertThat(mRegistry.startRepeatedStoreCheck()).isFalse();
        mRegistry.onStoreCheckFailed();
        mRegistry.remove(ID, millis(5_600));
        assertThat(mRegistry.startRepeatedStoreCheck()).isTrue();
        assertThat(mRegistry.startRepeatedStoreCheck()).isFalse();

        mRegistry.onStoreChecked(millis(5_700));
        assertThat(mRegistry.startRepeatedStoreCheck()).isFalse();
        assertThat(mRegistry.expire(millis(7_800))).isTrue();
        assertThat(ids()).isEmpty();
    }

    @Example
    void peerOutageIsInDoubtAgainOnceTheStoreNoLongerAnswers() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        reportPeerOutage(4_000, 9_000);
        for (long at = 9_000; at <= 12_000; at += 150) {
            mRegistry.onPeerStoreOutage(millis(at));
        }
        mRegistry.remove(ID, millis(12_000));

        assertThat(ids()).containsExactly("a");
    }

    private UpstreamRegistry registryWithLongGrace() {
        return UpstreamRegistry.create(Duration.ofMillis(2_300), Duration.ofMillis(1_500), mEvents);
    }
}
