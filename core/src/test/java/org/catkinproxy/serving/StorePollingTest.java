package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import java.time.Duration;

/** Tests that the waits before a change of the store is in force stay within their sum. */
class StorePollingTest {
    /** Guards against a key that is accepted long after it was taken away (review case 8). */
    @Property
    void changeIsSeenInTimeThoughAllConnectionsAreSilent(
            @ForAll @IntRange(min = 1, max = 2_000) int instances) {
        assertThat(StorePolling.silentConnectionsDelay(instances))
                .isAtMost(StorePolling.MAX_SYNC_TIME);
    }

    @Property
    void changeIsSeenInTimeThoughTheProberFails(
            @ForAll @IntRange(min = 1, max = 2_000) int instances) {
        assertThat(StorePolling.failedProberDelay(instances)).isAtMost(StorePolling.MAX_SYNC_TIME);
    }

    /** Guards against using an upstream that left before a link has healed (review case 10). */
    @Example
    void whatIsMissingAfterTheStoresReturnIsDroppedInTime() {
        assertThat(StorePolling.missingEntryDelay()).isAtMost(StorePolling.MAX_SYNC_TIME);
    }

    /** Live upstreams are listed again in time if the store returns between two attempts. */
    @Example
    void entriesAreRetainedUntilLiveUpstreamsAreListedAgain() {
        assertThat(StorePolling.storeReturnDelay().plus(StorePolling.RELISTING_TIME))
                .isAtMost(StorePolling.MAX_RETENTION_AFTER_ATTEMPT);
    }

    @Example
    void attemptToConnectEndsBeforeTheNextIsDue() {
        assertThat(StorePolling.CONNECT_TIMEOUT).isLessThan(StorePolling.MAX_RETRY_INTERVAL);
    }

    @Example
    void responsesOfSlowStoreAreAwaitedLonger() {
        assertThat(StorePolling.responseGrace(Duration.ofMillis(10)))
                .isEqualTo(StorePolling.MIN_RESPONSE_GRACE);
        assertThat(StorePolling.responseGrace(Duration.ofMillis(400)))
                .isEqualTo(Duration.ofMillis(800));
        assertThat(StorePolling.responseGrace(Duration.ofSeconds(9)))
                .isEqualTo(StorePolling.REQUEST_TIMEOUT);
    }
}
