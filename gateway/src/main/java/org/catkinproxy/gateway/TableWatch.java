package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.serving.ReadingFreshness;
import org.catkinproxy.serving.StorePolling;
import org.catkinproxy.serving.StorePosition;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import io.reactivex.rxjava3.disposables.Disposable;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Watches one table of the store: reads all rows, then long-polls for changes.
 *
 * <p>If the store's history no longer reaches back far enough, or a new era begins, all rows are
 * read again: the versions of one era say nothing of another. After a failure the watch polls from
 * the same position on another connection, at first without a wait. An open connection may fall
 * silent, so a poll is replaced by one on a new connection if its response is overdue, or if a peer
 * has reported a change that the poll should have returned. Used by the event loop only.
 */
public final class TableWatch {
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = StorePolling.MAX_RETRY_INTERVAL.toMillis();

    /** Receives the rows of a table. */
    public interface Listener {
        /**
         * Called with the position of rows that were read, before the rows are handled.
         *
         * @param newestRow the position of the newest change received before
         */
        void onRead(StorePosition position, StorePosition newestRow);

        /** Called with all rows of the table. */
        void onTable(List<TableRow> rows);

        /** Called with changed and deleted rows. */
        void onChanges(List<TableRow> rows);

        /** Called after each response of the store. */
        void onConnected();

        /**
         * Called after each failure of the store.
         *
         * @param attemptedAt when the failed call was started, in ns of the monotonic clock
         */
        void onDisconnected(CatkinException reason, long attemptedAt);

        /**
         * Called when the open poll has missed a change and is replaced, or when a reading is
         * stale.
         *
         * @param known the position up to which the table is known, or was read
         * @param hinted the position that a peer has reported, or that was known before
         */
        void onBehind(StorePosition known, StorePosition hinted);

        /** Called when the response of the open poll is overdue, and the poll is replaced. */
        void onOverdue();
    }

    /** The polling intervals, which depend on the number of instances that poll. */
    public interface PollPolicy {
        /** Returns how long a poll waits for changes. */
        Duration pollTimeout();

        /** Returns the delay of the next poll after changes, so that it returns several at once. */
        Duration pollDelay();

        /** Returns the delay before all rows are read again in a new era of the store. */
        Duration newEraDelay();
    }

    private final EventLoop mLoop;
    private final TableStore mStore;
    private final String mTable;
    private final Listener mListener;
    private final PollPolicy mPollPolicy;

    /** The position up to which the table is known, empty while all rows have to be read. */
    private Optional<StorePosition> mPosition = Optional.empty();

    /** The position of the newest change received. */
    private StorePosition mNewestRow = StorePosition.START;

    /** The highest position that a peer has reported and for which a poll was replaced. */
    private StorePosition mCheckedHint = StorePosition.START;

    /** How long the response of a poll is awaited after the end of its wait. */
    private Duration mResponseGrace = StorePolling.MIN_RESPONSE_GRACE;

    private final ReadingFreshness mFreshness = ReadingFreshness.create();
    private long mBackoffMillis = INITIAL_BACKOFF_MILLIS;
    private Disposable mPoll = Disposable.disposed();
    private long mPollStartedAt;
    private Optional<Future<?>> mNextPoll = Optional.empty();
    private boolean mCheckScheduled;

    /** Whether no poll has succeeded since all rows were read. */
    private boolean mFollowsReading;

    /** Whether polls do not wait for changes: after a failure or a missed change. */
    private boolean mPollsWithoutWait;

    private TableWatch(
            EventLoop loop,
            TableStore store,
            String table,
            Listener listener,
            PollPolicy pollPolicy) {
        mLoop = loop;
        mStore = store;
        mTable = table;
        mListener = listener;
        mPollPolicy = pollPolicy;
    }

    /** Starts a watch of a table. */
    public static TableWatch start(
            EventLoop loop,
            TableStore store,
            String table,
            Listener listener,
            PollPolicy pollPolicy) {
        TableWatch watch = new TableWatch(loop, store, table, listener, pollPolicy);
        watch.poll();
        return watch;
    }

    /** Returns the name of the watched table. */
    public String table() {
        return mTable;
    }

    /** Returns the position of the newest change received. */
    public StorePosition newestRow() {
        return mNewestRow;
    }

    /**
     * Reads all rows again, because the store is in a new era. The open poll is cancelled: it may
     * stay without a response.
     */
    public void onNewEra(long era) {
        if (mPosition.isEmpty() || mPosition.get().era() < era) {
            mPosition = Optional.empty();
            pollAfter(mPollPolicy.newEraDelay().toMillis());
        }
    }

    /**
     * Handles a peer's report of a change. If the open poll does not return it, the poll is
     * replaced, or all rows are read again if the peer is in a later era. Each reported position is
     * looked for once only, as a peer may be wrong.
     */
    public void onPositionHint(StorePosition hinted) {
        boolean counts = mFreshness.recordNamed(hinted);
        if (!counts || mPosition.isEmpty() || !hinted.isAfter(mPosition.get())) {
            return;
        }
        if (hinted.era() > mPosition.get().era()) {
            mListener.onBehind(mPosition.get(), hinted);
            onNewEra(hinted.era());
        } else if (hinted.isAfter(mCheckedHint) && !mCheckScheduled && !mPollsWithoutWait) {
            scheduleCheck(hinted);
        }
    }

    private void scheduleCheck(StorePosition hinted) {
        mCheckScheduled = true;
        Disposable poll = mPoll;
        schedule(() -> checkHint(hinted, poll), StorePolling.HINT_GRACE);
    }

    private Future<?> schedule(Runnable task, Duration delay) {
        return mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void checkHint(StorePosition hinted, Disposable poll) {
        mCheckScheduled = false;
        if (mPosition.isPresent() && hinted.isAfter(mPosition.get()) && isOpen(poll)) {
            mCheckedHint = hinted;
            mListener.onBehind(mPosition.get(), hinted);
            replacePoll();
        }
    }

    private boolean isOpen(Disposable poll) {
        return poll == mPoll && !poll.isDisposed();
    }

    /** Replaces the open poll by one on a new connection that does not wait. */
    private void replacePoll() {
        mPoll.dispose();
        mPollsWithoutWait = true;
        poll();
    }

    /** Replaces an open poll that waits for changes by one that does not. */
    public void pollNow() {
        if (mPosition.isPresent() && isOpen(mPoll) && !mPollsWithoutWait) {
            replacePoll();
        }
    }

    private void poll() {
        mPollStartedAt = System.nanoTime();
        if (mPosition.isEmpty()) {
            mPoll = mStore.read(mTable).subscribe(this::onTable, this::onFailure);
            return;
        }
        Duration wait = nextPollTimeout();
        mPoll =
                mStore.changes(mTable, mPosition.get(), wait)
                        .subscribe(rows -> onChanges(rows, wait), this::onFailure);
        Disposable poll = mPoll;
        if (!mPollsWithoutWait && !poll.isDisposed()) {
            schedule(() -> checkOverdue(poll), wait.plus(mResponseGrace));
        }
    }

    private void checkOverdue(Disposable poll) {
        if (isOpen(poll)) {
            mListener.onOverdue();
            replacePoll();
        }
    }

    /** Replaces the open or scheduled poll by one after a delay. */
    private void pollAfter(long millis) {
        mPoll.dispose();
        mNextPoll.ifPresent(p -> p.cancel(false));
        mNextPoll = Optional.of(mLoop.schedule(this::poll, millis, TimeUnit.MILLISECONDS));
    }

    /** Polls after a failure do not wait, so that a further outage is detected soon. */
    private Duration nextPollTimeout() {
        return mPollsWithoutWait ? Duration.ZERO : mPollPolicy.pollTimeout();
    }

    private void onTable(TableStore.Rows rows) {
        mListener.onConnected();
        mListener.onRead(rows.position(), mNewestRow);
        StorePosition required = mFreshness.required();
        if (required.isAfter(rows.position())) {
            mListener.onBehind(rows.position(), required);
        }
        if (!mFreshness.accept(rows.position())) {
            pollAfterBackoff();
            return;
        }
        try {
            mListener.onTable(rows.rows());
        } catch (RuntimeException e) {
            readAgain(e);
            return;
        }
        advance(rows);
        mFollowsReading = true;
        pollAfter(0);
    }

    /** Reads all rows again after a delay, because the listener failed to handle some. */
    private void readAgain(RuntimeException failure) {
        mListener.onDisconnected(
                CatkinException.of(
                        ErrorCode.INTERNAL,
                        Step.STORE,
                        mTable,
                        Outcome.NOT_RUN,
                        "rows cannot be handled: " + failure,
                        failure),
                System.nanoTime());
        mPosition = Optional.empty();
        pollAfterBackoff();
    }

    /** Polls again; the backoff counts from the start of the last attempt, which may time out. */
    private void pollAfterBackoff() {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mPollStartedAt);
        pollAfter(Math.max(0, mBackoffMillis - elapsedMillis));
        mBackoffMillis = Math.min(2 * mBackoffMillis, MAX_BACKOFF_MILLIS);
    }

    private void onChanges(TableStore.Rows rows, Duration wait) {
        if (rows.rows().isEmpty()) {
            Duration elapsed = Duration.ofNanos(System.nanoTime() - mPollStartedAt);
            mResponseGrace = StorePolling.responseGrace(elapsed.minus(wait));
        }
        mListener.onConnected();
        mFollowsReading = false;
        mBackoffMillis = INITIAL_BACKOFF_MILLIS;
        if (rows.rows().isEmpty()) {
            advance(rows);
            pollAfter(0);
            return;
        }
        try {
            mListener.onChanges(rows.rows());
        } catch (RuntimeException e) {
            readAgain(e);
            return;
        }
        advance(rows);
        pollAfter(mPollPolicy.pollDelay().toMillis());
    }

    private void advance(TableStore.Rows rows) {
        StorePosition position = rows.position();
        mPosition =
                Optional.of(mPosition.map(p -> StorePosition.max(p, position)).orElse(position));
        for (TableRow row : rows.rows()) {
            mNewestRow =
                    StorePosition.max(mNewestRow, new StorePosition(position.era(), row.version()));
        }
        mFreshness.recordKnown(position);
        mPollsWithoutWait = false;
    }

    /** Reads all rows again, after a delay if the history does not even reach the last reading. */
    private void readAfterLostHistory() {
        if (mFollowsReading) {
            pollAfterBackoff();
        } else {
            pollAfter(0);
        }
    }

    private void onFailure(Throwable failure) {
        if (failure instanceof CatkinException e && e.code() == ErrorCode.HISTORY_GONE) {
            mPosition = Optional.empty();
            readAfterLostHistory();
            return;
        }
        if (!(failure instanceof CatkinException)) {
            throw new IllegalStateException(
                    "watch of table " + mTable + " failed unexpectedly", failure);
        }
        mListener.onDisconnected((CatkinException) failure, mPollStartedAt);
        mPollsWithoutWait = true;
        pollAfterBackoff();
    }
}
