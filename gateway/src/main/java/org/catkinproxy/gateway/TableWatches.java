package org.catkinproxy.gateway;

import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.StorePolling;
import org.catkinproxy.serving.StorePosition;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The watched tables of the store.
 *
 * <p>The polls of one instance wait for a short time only (see {@link StoreProber}). Those of the
 * others are spread: the more there are, the longer each poll waits. Used by the event loop only.
 */
final class TableWatches {
    private final Gateway mGateway;
    private final TableStore mStore;
    private final List<TableWatch> mWatches = new ArrayList<>();

    TableWatches(Gateway gateway, TableStore store) {
        mGateway = gateway;
        mStore = store;
    }

    /** Starts to watch a table; {@code pollDelay} yields the delay of a poll after changes. */
    void start(String table, TableWatch.Listener listener, Supplier<Duration> pollDelay) {
        TableWatch.PollPolicy pollPolicy =
                new TableWatch.PollPolicy() {
                    @Override
                    public Duration pollTimeout() {
                        return mGateway.storeProber().isProber()
                                ? StorePolling.PROBE_WAIT
                                : FleetIntervals.pollTimeout(
                                        mGateway.instanceCount(), mGateway.random());
                    }

                    @Override
                    public Duration pollDelay() {
                        return pollDelay.get();
                    }

                    @Override
                    public Duration newEraDelay() {
                        return FleetIntervals.newEraDelay(
                                mGateway.instanceCount(), mGateway.random());
                    }
                };
        mWatches.add(TableWatch.start(mGateway.loop(), mStore, table, listener, pollPolicy));
    }

    /**
     * Handles a new era of the store. The watches learn of it after the response that shows it has
     * been handled, so that a table which that response contains is not read twice.
     */
    void onNewEra(long era) {
        mGateway.loop().execute(() -> mWatches.forEach(watch -> watch.onNewEra(era)));
    }

    /** Replaces the polls that wait for changes, which may be silent. */
    void pollNow() {
        mWatches.forEach(TableWatch::pollNow);
    }

    /**
     * Returns the position of the newest change seen in each watched table, by table name, or the
     * start of the store's era if none has been seen in it.
     */
    Map<String, StorePosition> positions() {
        StorePosition eraStart = new StorePosition(mGateway.storeEra().orElse(0), 0);
        return mWatches.stream()
                .collect(
                        Collectors.toMap(
                                TableWatch::table,
                                w -> StorePosition.max(w.newestRow(), eraStart)));
    }

    /** Handles a peer's report that it has seen a position of a table. */
    void onPositionHint(String table, StorePosition position) {
        mWatches.stream()
                .filter(watch -> watch.table().equals(table))
                .forEach(watch -> watch.onPositionHint(position));
    }
}
