package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.InstanceId;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Entries that lapse while the store is away, and entries that are gone. */
class UpstreamListingTest {
    private static final long GRACE = 2 * Samples.SECOND;

    private final UpstreamListing mListing = UpstreamListing.create(GRACE);

    private List<String> ids() {
        List<String> ids = new ArrayList<>();
        mListing.all().forEachRemaining(u -> ids.add(u.id().value()));
        return ids;
    }

    @Example
    void anEntryThatIsRemovedInCalmIsGoneAtOnce() {
        mListing.connected(0);
        mListing.put(Samples.plain("a"));
        mListing.remove(InstanceId.of("a"), 10 * Samples.SECOND);

        assertThat(ids()).isEmpty();
    }

    @Example
    void anEntryThatLapsedDuringAnOutageIsKeptUntilTheGraceIsOver() {
        mListing.connected(0);
        mListing.put(Samples.plain("a"));
        mListing.disconnected();
        mListing.connected(20 * Samples.SECOND);
        mListing.replaceAll(List.of(), 20 * Samples.SECOND);

        assertThat(ids()).containsExactly("a");
        assertThat(mListing.expire(21 * Samples.SECOND)).isFalse();
        assertThat(mListing.expire(22 * Samples.SECOND)).isTrue();
        assertThat(ids()).isEmpty();
    }

    @Example
    void anEntryThatComesBackWithinTheGraceStays() {
        mListing.connected(0);
        mListing.put(Samples.plain("a"));
        mListing.disconnected();
        mListing.connected(20 * Samples.SECOND);
        mListing.remove(InstanceId.of("a"), 20 * Samples.SECOND);
        mListing.put(Samples.plain("a"));
        mListing.expire(30 * Samples.SECOND);

        assertThat(ids()).containsExactly("a");
    }

    @Example
    void anUpstreamThatWasLeavingIsNotKept() {
        mListing.connected(0);
        mListing.put(Samples.upstream("a", "1", true, Map.of()));
        mListing.disconnected();
        mListing.connected(20 * Samples.SECOND);
        mListing.remove(InstanceId.of("a"), 20 * Samples.SECOND);

        assertThat(ids()).isEmpty();
    }
}
