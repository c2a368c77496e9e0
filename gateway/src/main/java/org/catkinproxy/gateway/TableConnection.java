package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.serving.StorePosition;

/**
 * Whether the store responds to the polls of one table; logs when that changes.
 *
 * <p>Used by the event loop only.
 */
final class TableConnection {
    private final EventLog mLog;
    private final String mName;
    private boolean mConnected;

    /**
     * Creates the state before the first poll.
     *
     * @param name the name of the table in the log
     */
    TableConnection(EventLog log, String name) {
        mLog = log;
        mName = name;
    }

    /** Returns whether the last poll succeeded. */
    boolean isConnected() {
        return mConnected;
    }

    /** Handles a response of the store. */
    void onConnected() {
        if (!mConnected) {
            mConnected = true;
            mLog.record(GatewayEvent.STORE_REGAINED, "table", mName);
        }
    }

    /** Handles a failure of the store. */
    void onDisconnected(CatkinException reason) {
        if (mConnected) {
            mConnected = false;
            mLog.record(GatewayEvent.STORE_LOST, "table", mName, "reason", reason);
        }
    }

    /**
     * Handles the read of all rows.
     *
     * @param newestRow the position of the newest change received before
     */
    void onRead(StorePosition position, StorePosition newestRow) {
        mLog.record(
                GatewayEvent.TABLE_READ,
                "table",
                mName,
                "position",
                position,
                "newest_row",
                newestRow);
    }

    /** Handles a change that the open poll has missed. */
    void onBehind(StorePosition known, StorePosition hinted) {
        mLog.record(GatewayEvent.STORE_BEHIND, "table", mName, "known", known, "told", hinted);
    }

    /** Handles a poll whose response is overdue. */
    void onOverdue() {
        mLog.record(GatewayEvent.STORE_POLL_OVERDUE, "table", mName);
    }
}
