package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;

import io.netty.channel.EventLoop;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Follows one table of the store: reads it whole, then waits for changes.
 *
 * <p>A lost history is answered by reading the table again. After a failure the same position is
 * asked for again on another connection; a call that stays silent fails by its timeout. Used by the
 * event loop only.
 */
public final class TableWatch {
    private static final long FIRST_BACKOFF_MILLIS = 100;
    private static final long LONGEST_BACKOFF_MILLIS = 800;

    /** Learns what a table holds. */
    public interface Listener {
        /** Takes the whole table. */
        void onTable(List<TableRow> rows);

        /** Takes changed and removed rows. */
        void onChanges(List<TableRow> rows);

        /** Notes that the store answers; called after each answer. */
        void onConnected();

        /** Notes that the store does not answer. */
        void onDisconnected(CatkinException reason);
    }

    private final EventLoop mLoop;
    private final TableStore mStore;
    private final String mTable;
    private final Listener mListener;
    private final Duration mWait;
    private long mVersion = -1;
    private long mBackoffMillis = FIRST_BACKOFF_MILLIS;
    private boolean mClosed;

    private TableWatch(
            EventLoop loop, TableStore store, String table, Listener listener, Duration wait) {
        mLoop = loop;
        mStore = store;
        mTable = table;
        mListener = listener;
        mWait = wait;
    }

    /**
     * Starts to follow a table.
     *
     * @param wait how long a call waits for changes; a silent connection is found a little later
     */
    public static TableWatch start(
            EventLoop loop, TableStore store, String table, Listener listener, Duration wait) {
        TableWatch watch = new TableWatch(loop, store, table, listener, wait);
        watch.next();
        return watch;
    }

    /** Ends the watch. */
    public void close() {
        mClosed = true;
    }

    private void next() {
        if (mClosed) {
            return;
        }
        if (mVersion < 0) {
            mStore.read(mTable).subscribe(this::onTable, this::onFailure);
        } else {
            mStore.changes(mTable, mVersion, mWait).subscribe(this::onChanges, this::onFailure);
        }
    }

    private void onTable(TableStore.Rows rows) {
        mListener.onConnected();
        mListener.onTable(rows.rows());
        advance(rows);
    }

    private void onChanges(TableStore.Rows rows) {
        mListener.onConnected();
        if (!rows.rows().isEmpty()) {
            mListener.onChanges(rows.rows());
        }
        advance(rows);
    }

    private void advance(TableStore.Rows rows) {
        mVersion = Math.max(mVersion, rows.version());
        mBackoffMillis = FIRST_BACKOFF_MILLIS;
        mLoop.execute(this::next);
    }

    private void onFailure(Throwable failure) {
        if (failure instanceof CatkinException e && e.code() == ErrorCode.HISTORY_GONE) {
            mVersion = -1;
            mLoop.execute(this::next);
            return;
        }
        if (!(failure instanceof CatkinException)) {
            throw new IllegalStateException("the watch of " + mTable + " failed", failure);
        }
        mListener.onDisconnected((CatkinException) failure);
        mLoop.schedule(this::next, mBackoffMillis, TimeUnit.MILLISECONDS);
        mBackoffMillis = Math.min(2 * mBackoffMillis, LONGEST_BACKOFF_MILLIS);
    }
}
