package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import io.netty.channel.embedded.EmbeddedChannel;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A table is followed with few calls, and changes are not missed on a connection gone silent. */
class TableWatchTest {
    private static final String TABLE = "upstreams";

    private final FakeStore mStore = new FakeStore();
    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final Seen mSeen = new Seen();
    private final TableWatch mWatch =
            TableWatch.start(mChannel.eventLoop(), mStore, TABLE, mSeen, new FixedPace());

    TableWatchTest() {
        mChannel.freezeTime();
        mStore.answer(rows(5, row("a", 3)));
        advance(0);
    }

    @Example
    void silentCallIsGivenUpOnceAnotherInstanceKnowsOfLaterChanges() {
        mWatch.toldOf(9);
        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 16");

        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
        assertThat(mStore.mGivenUp).isEqualTo(1);

        mStore.answer(rows(9, row("b", 9)));
        assertThat(mSeen.mKeys).containsExactly("a", "b").inOrder();
    }

    /** An instance that is cut from the store, while others tell of changes again and again. */
    @Example
    void callThatAsksAnewIsNotGivenUpSoThatItsFailureIsSeen() {
        for (int i = 0; i < 10; i++) {
            mWatch.toldOf(9 + i);
            advance(400);
        }
        assertThat(mStore.mGivenUp).isEqualTo(1);

        mStore.fail();
        assertThat(mSeen.mLost).isEqualTo(1);
        advance(150);
        assertThat(mStore.openCalls()).containsExactly("changes after 5 wait 0");
    }

    @Example
    void callIsKeptWhileNothingIsMissing() {
        mWatch.toldOf(4);
        advance(1_000);
        assertThat(mStore.mGivenUp).isEqualTo(0);
    }

    @Example
    void changeThatComesByItselfInTimeGivesNothingUp() {
        mWatch.toldOf(9);
        mStore.answer(rows(9, row("b", 9)));
        advance(1_000);
        assertThat(mStore.mGivenUp).isEqualTo(0);
        assertThat(mWatch.newestRow()).isEqualTo(9);
    }

    /** The load pattern of a rollout: each engine's row changes, one after the other. */
    @Example
    void changesThatFollowEachOtherAreAskedForTogether() {
        mStore.answer(rows(6, row("b", 6)));
        advance(400);
        assertThat(mStore.openCalls()).isEmpty();

        advance(200);
        assertThat(mStore.openCalls()).containsExactly("changes after 6 wait 16");
    }

    private void advance(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
        mChannel.runPendingTasks();
    }

    private static TableRow row(String key, long version) {
        return new TableRow(key, version, Optional.of(key.getBytes(StandardCharsets.UTF_8)));
    }

    private static TableStore.Rows rows(long version, TableRow row) {
        return new TableStore.Rows(List.of(row), version);
    }

    private static final class FixedPace implements TableWatch.Pace {
        @Override
        public Duration longestWait() {
            return Duration.ofSeconds(16);
        }

        @Override
        public Duration pauseAfterChanges() {
            return Duration.ofMillis(500);
        }
    }

    /** A store whose calls stay open until the test answers them. */
    private static final class FakeStore implements TableStore {
        private final List<String> mCalls = new ArrayList<>();
        private final List<SingleSubject<Rows>> mAnswers = new ArrayList<>();
        private int mGivenUp;

        void answer(Rows rows) {
            mCalls.remove(0);
            mAnswers.remove(0).onSuccess(rows);
        }

        void fail() {
            mCalls.remove(0);
            mAnswers.remove(0)
                    .onError(
                            CatkinException.notRun(
                                    ErrorCode.STORE_UNAVAILABLE, Step.STORE, "store", "cut"));
        }

        List<String> openCalls() {
            return mCalls;
        }

        private Single<Rows> open(String call) {
            SingleSubject<Rows> answer = SingleSubject.create();
            mCalls.add(call);
            mAnswers.add(answer);
            return answer.doOnDispose(
                    () -> {
                        mGivenUp++;
                        mCalls.remove(mAnswers.indexOf(answer));
                        mAnswers.remove(answer);
                    });
        }

        @Override
        public Single<Rows> read(String table) {
            return open("read");
        }

        @Override
        public Single<Rows> changes(String table, long after, Duration wait) {
            return open("changes after " + after + " wait " + wait.toSeconds());
        }

        @Override
        public Single<Rows> readRow(String table, String key) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Single<Long> write(String table, String key, byte[] content) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Single<Long> writeIf(String table, String key, long expected, byte[] content) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Single<Long> remove(String table, String key) {
            throw new UnsupportedOperationException();
        }
    }

    private static final class Seen implements TableWatch.Listener {
        private final List<String> mKeys = new ArrayList<>();
        private int mLost;

        @Override
        public void onTable(List<TableRow> rows) {
            onChanges(rows);
        }

        @Override
        public void onChanges(List<TableRow> rows) {
            rows.forEach(r -> mKeys.add(r.key()));
        }

        @Override
        public void onConnected() {}

        @Override
        public void onBehind(long known, long told) {
            assertThat(told).isGreaterThan(known);
        }

        @Override
        public void onDisconnected(CatkinException reason) {
            mLost++;
        }
    }
}
