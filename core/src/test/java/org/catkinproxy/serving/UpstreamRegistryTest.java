package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Tests which of several entries of an upstream counts, and what is reported of them. */
class UpstreamRegistryTest {
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
    void entryRemovedWithoutOutageIsDroppedAtOnce() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(Samples.upstreamWithoutWeights("a"));
        mRegistry.remove(InstanceId.of("a"), 10 * Samples.NANOS_PER_SECOND);

        assertThat(ids()).isEmpty();
    }

    private static Upstream entry(long start, long sequence, boolean draining) {
        return Samples.upstream(
                "a", Long.toString(start), new ListingVersion(start, sequence), draining, Map.of());
    }

    @Example
    void drainingIsReportedOnceForEachStart() {
        mRegistry.put(entry(1, 1, false));
        mRegistry.put(entry(1, 2, true));
        mRegistry.put(entry(1, 3, true));
        mRegistry.put(entry(2, 1, true));

        assertThat(mEvents.events()).containsExactly("draining 1/2", "draining 2/1").inOrder();
    }

    @Example
    void olderEntryIsReportedWithTheKnownVersion() {
        mRegistry.put(entry(2, 5, false));
        mRegistry.put(entry(2, 4, false));

        assertThat(mEvents.events()).containsExactly("older 2/4 than 2/5");
    }

    /** Guards against sending to an upstream that drains after a stale read listed it as ready. */
    @Example
    void staleReadDoesNotListDrainingUpstreamAsReady() {
        mRegistry.put(entry(1, 1, false));
        mRegistry.put(entry(1, 2, true));
        mRegistry.replaceAll(List.of(entry(1, 1, false)), 0);

        assertThat(mRegistry.find(ID).orElseThrow().draining()).isTrue();
        assertThat(mEvents.events()).contains("older 1/1 than 1/2");
    }

    @Example
    void leavingHoldsUntilTheUpstreamStartsAnew() {
        mRegistry.put(entry(1, 1, true));
        mRegistry.put(entry(1, 2, false));
        assertThat(mRegistry.find(ID).orElseThrow().draining()).isTrue();

        mRegistry.remove(ID, 0);
        mRegistry.put(entry(1, 3, false));
        assertThat(mRegistry.find(ID).orElseThrow().draining()).isTrue();

        mRegistry.put(entry(2, 1, false));
        assertThat(mRegistry.find(ID).orElseThrow().draining()).isFalse();
    }

    @Example
    void leavingThatTheUpstreamAnnouncedHoldsForItsEntries() {
        mRegistry.put(entry(1, 1, false));
        assertThat(mRegistry.recordLeaving(entry(1, 1, false))).isTrue();
        assertThat(mRegistry.recordLeaving(entry(1, 1, false))).isFalse();
        assertThat(mRegistry.find(ID).orElseThrow().draining()).isTrue();

        mRegistry.put(entry(1, 2, false));
        assertThat(mRegistry.find(ID).orElseThrow().draining()).isTrue();
        assertThat(mEvents.events()).isEmpty();
    }

    @Example
    void entryOfAnEarlierStartIsIgnored() {
        mRegistry.put(entry(2, 1, false));
        mRegistry.put(entry(1, 9, false));

        assertThat(mRegistry.find(ID)).hasValue(entry(2, 1, false));
    }

    /**
     * Guards against sending to an upstream that left and is listed again by a copy of the past.
     */
    @Example
    void deletedEntryIsListedAgainOnlyWhenTheUpstreamWritesAnother() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(entry(1, 4, false));
        mRegistry.remove(ID, 0);
        mRegistry.put(entry(1, 4, false));
        mRegistry.replaceAll(List.of(entry(1, 3, false)), 0);
        assertThat(ids()).isEmpty();
        assertThat(mEvents.events())
                .containsExactly("older 1/4 than 1/4", "older 1/3 than 1/4")
                .inOrder();

        mRegistry.put(entry(1, 5, false));
        assertThat(ids()).containsExactly("a");
    }

    /** An entry may be missing because the read was stale: it is the same when it returns. */
    @Example
    void entryMissingInReadIsListedAgainWhenItReturns() {
        mRegistry.onStoreAvailable(0);
        mRegistry.put(entry(1, 4, false));
        mRegistry.replaceAll(List.of(), 0);
        assertThat(ids()).isEmpty();
        mRegistry.put(entry(1, 3, false));
        assertThat(ids()).isEmpty();

        mRegistry.put(entry(1, 4, false));
        assertThat(ids()).containsExactly("a");
    }

    @Example
    void retainedEntryIsReported() {
        mRegistry.put(entry(1, 1, false));
        mRegistry.onStoreUnavailable(0, 0);
        mRegistry.remove(ID, 0);

        assertThat(mEvents.events()).containsExactly("retained 1/1");
    }
}
