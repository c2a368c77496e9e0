package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.serving.StorePosition;

import io.netty.channel.embedded.EmbeddedChannel;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a watch polls rarely and detects a silent connection.
 *
 * <p>A poll on a connection that delivers no more data would miss changes until its timeout, so
 * that hints from other instances must replace it.
 */
class TableWatchTest {
    private static final String TABLE = "upstreams";

    private final FakeTableStore mStore = new FakeTableStore();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final RecordingListener mListener = new RecordingListener();
    private final TableWatch mWatch =
            TableWatch.start(mChannel.eventLoop(), mStore, TABLE, mListener, new FixedPollPolicy());

    TableWatchTest() {
        mChannel.freezeTime();
        mStore.succeed(rows(5, row("a", 3)));
        advance(0);
    }

    @Example
    void silentPollIsReplacedAfterHintOfNewerVersion() {
        mWatch.onPositionHint(new StorePosition(0, 9));
        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 16");

        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
        assertThat(mStore.disposedCount()).isEqualTo(1);

        mStore.succeed(rows(9, row("b", 9)));
        assertThat(mListener.mKeys).containsExactly("a", "b").inOrder();
    }

    /**
     * Repeated hints must not cancel the replacement poll again and again: an instance that is cut
     * off from the store while others see changes would then never notice the outage.
     */
    @Example
    void replacementPollIsKeptSoThatItsFailureIsReported() {
        for (int i = 0; i < 10; i++) {
            mWatch.onPositionHint(new StorePosition(0, 9 + i));
            advance(400);
        }
        assertThat(mStore.disposedCount()).isEqualTo(1);

        mStore.fail();
        assertThat(mListener.mDisconnectCount).isEqualTo(1);
        advance(150);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
    }

    @Example
    void pollIsKeptAfterHintOfKnownVersion() {
        mWatch.onPositionHint(new StorePosition(0, 4));
        advance(1_000);
        assertThat(mStore.disposedCount()).isEqualTo(0);
    }

    @Example
    void pollIsKeptIfChangeArrivesWithinHintGrace() {
        mWatch.onPositionHint(new StorePosition(0, 9));
        mStore.succeed(rows(9, row("b", 9)));
        advance(1_000);
        assertThat(mStore.disposedCount()).isEqualTo(0);
        assertThat(mWatch.newestRow()).isEqualTo(new StorePosition(0, 9));
    }

    /**
     * Guards against a change that is missed for as long as a poll on a silent connection stays
     * open (review case 8).
     */
    @Example
    void silentPollIsReplacedOnceItsResponseIsOverdue() {
        advance(16_400);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 16");

        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
        assertThat(mListener.mOverdueCount).isEqualTo(1);
        assertThat(mListener.mDisconnectCount).isEqualTo(0);

        mStore.succeed(rows(9, row("b", 9)));
        assertThat(mListener.mKeys).containsExactly("a", "b").inOrder();
    }

    @Example
    void pollIsReplacedOnRequestUnlessItDoesNotWait() {
        mWatch.pollNow();
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
        mWatch.pollNow();
        assertThat(mStore.disposedCount()).isEqualTo(1);
    }

    /** In a rollout the rows of the engines change one after the other. */
    @Example
    void nextPollIsDelayedToCoalesceChanges() {
        mStore.succeed(rows(6, row("b", 6)));
        advance(400);
        assertThat(mStore.openCalls()).isEmpty();

        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 6 wait 16");
    }

    /** One row that a listener cannot handle must not end the watch of the whole table. */
    @Example
    void tableIsReadAgainAfterTheListenerFailed() {
        mListener.mFailsOnce = true;
        mStore.succeed(rows(6, row("b", 6)));
        assertThat(mListener.mDisconnectCount).isEqualTo(1);

        advance(150);
        assertThat(mStore.openCalls()).containsExactly("read");
        mStore.succeed(rows(6, row("a", 3), row("b", 6)));
        assertThat(mListener.mKeys).containsAtLeast("a", "b");
    }

    /** A poll of the era before may stay open without a response. */
    @Example
    void openPollIsReplacedByReadingInNewEra() {
        mWatch.onNewEra(1);
        advance(30);
        assertThat(mStore.openCalls()).containsExactly("read");
        assertThat(mStore.disposedCount()).isEqualTo(1);

        mStore.succeed(rowsOfEra(1, 4, row("a", 4)));
        advance(10);
        assertThat(mStore.openCalls()).containsExactly("changes after 4 wait 16");
    }

    @Example
    void pollAfterBackoffIsReplacedByReadingInNewEra() {
        mStore.fail();
        mWatch.onNewEra(1);
        advance(1_000);
        assertThat(mStore.openCalls()).containsExactly("read");
    }

    /** Two signs of one era, as each table and each peer gives one, must not cause two readings. */
    @Example
    void tableIsReadOnceInEachEra() {
        mWatch.onNewEra(1);
        advance(30);
        mStore.succeed(rowsOfEra(1, 4, row("a", 4)));
        mWatch.onNewEra(1);
        advance(1_000);
        assertThat(mStore.openCalls()).containsExactly("changes after 4 wait 16");
        assertThat(mStore.disposedCount()).isEqualTo(1);
    }

    @Example
    void tableIsReadAgainAfterHintOfNewEra() {
        mWatch.onPositionHint(new StorePosition(1, 0));
        advance(30);
        assertThat(mStore.openCalls()).containsExactly("read");
    }

    @Example
    void hintOfEarlierEraIsIgnored() {
        mWatch.onNewEra(1);
        advance(30);
        mStore.succeed(rowsOfEra(1, 4, row("a", 4)));
        mWatch.onPositionHint(new StorePosition(0, 9));
        advance(1_000);
        assertThat(mStore.disposedCount()).isEqualTo(1);
        assertThat(mWatch.newestRow()).isEqualTo(new StorePosition(1, 4));
    }

    /** A peer that names a position which the store does not have must not cause calls for ever. */
    @Example
    void pollIsReplacedOnceForEachHint() {
        for (int i = 0; i < 10; i++) {
            mWatch.onPositionHint(new StorePosition(0, 9));
            advance(400);
            if (i < 2) {
                mStore.succeed(rows(5));
            }
        }
        assertThat(mStore.disposedCount()).isEqualTo(1);
    }

    /** Reads of a store that is behind itself return what was true some seconds ago. */
    @Example
    void readingBeforeKnownPositionIsNotUsed() {
        mStore.failWith(ErrorCode.HISTORY_GONE);
        advance(150);
        mStore.succeed(rows(4, row("old", 4)));
        assertThat(mListener.mKeys).containsExactly("a");

        advance(300);
        mStore.succeed(rows(6, row("b", 6)));
        assertThat(mListener.mKeys).containsExactly("a", "b").inOrder();
    }

    /** A peer's report must not keep an instance from what the store holds for ever. */
    @Example
    void readingIsUsedThoughPeerNamedEraThatStoreNeverShows() {
        mWatch.onPositionHint(new StorePosition(7, 0));
        advance(30);
        int readings = 0;
        while (!mListener.mKeys.contains("b") && readings < 20) {
            mStore.succeed(rows(6, row("b", 6)));
            readings++;
            advance(1_000);
            mWatch.onPositionHint(new StorePosition(7, 0));
        }
        assertThat(readings).isAtMost(10);
        advance(1_000);
        assertThat(mStore.openCalls()).containsExactly("changes after 6 wait 16");

        mWatch.onPositionHint(new StorePosition(0, 9));
        advance(400);
        assertThat(mStore.openCalls()).containsExactly("changes after 6 wait 0");
    }

    /** Guards against a change that is confirmed, and not in force for long as a peer is wrong. */
    @Example
    void changeIsInForceWithinTwoSecondsThoughPeerNamedWrongEra() {
        mWatch.onPositionHint(new StorePosition(7, 0));
        for (int millis = 0; millis < 2_000; millis += 10) {
            advance(10);
            if (mStore.openCalls().contains("read")) {
                mStore.succeed(rows(6, row("b", 6)));
            }
        }
        assertThat(mListener.mKeys).contains("b");
    }

    @Example
    void historyThatIsLostAtOnceCausesNoLoopOfReadings() {
        int readings = 0;
        for (int i = 0; i < 300; i++) {
            if (mStore.openCalls().contains("read")) {
                readings++;
                mStore.succeed(rows(5));
            } else if (!mStore.openCalls().isEmpty()) {
                mStore.failWith(ErrorCode.HISTORY_GONE);
            }
            advance(10);
        }
        assertThat(readings).isAtMost(8);
    }

    private static TableStore.Rows rowsOfEra(long era, long version, TableRow... rows) {
        return new TableStore.Rows(List.of(rows), new StorePosition(era, version));
    }

    private void advance(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
    }

    private static TableRow row(String key, long version) {
        return new TableRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static TableStore.Rows rows(long version, TableRow... rows) {
        return new TableStore.Rows(List.of(rows), new StorePosition(0, version));
    }

    private static final class FixedPollPolicy implements TableWatch.PollPolicy {
        @Override
        public Duration pollTimeout() {
            return Duration.ofSeconds(16);
        }

        @Override
        public Duration pollDelay() {
            return Duration.ofMillis(500);
        }

        @Override
        public Duration newEraDelay() {
            return Duration.ofMillis(20);
        }
    }

    private static final class RecordingListener implements TableWatch.Listener {
        private final List<String> mKeys = new ArrayList<>();
        private int mDisconnectCount;
        private int mOverdueCount;
        private boolean mFailsOnce;

        @Override
        public void onTable(List<TableRow> rows) {
            onChanges(rows);
        }

        @Override
        public void onChanges(List<TableRow> rows) {
            if (mFailsOnce) {
                mFailsOnce = false;
                throw new IllegalStateException("row cannot be handled");
            }
            rows.forEach(r -> mKeys.add(r.key()));
        }

        @Override
        public void onConnected() {}

        @Override
        public void onRead(StorePosition position, StorePosition newestRow) {}

        @Override
        public void onBehind(StorePosition known, StorePosition hinted) {
            assertThat(hinted).isGreaterThan(known);
        }

        @Override
        public void onOverdue() {
            mOverdueCount++;
        }

        @Override
        public void onDisconnected(CatkinException reason, long attemptedAt) {
            mDisconnectCount++;
        }
    }
}
