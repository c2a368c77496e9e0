package org.catkinproxy.gateway;

import java.util.Locale;

/**
 * The events that the gateway logs, each with a unique number.
 *
 * <p>The number of a removed event must not be reused. docs/GATEWAY.md lists all events. Immutable.
 */
public enum GatewayEvent {
    STARTED(1101),
    STOPPING(1102),
    STOPPED(1103),
    SETTINGS_RELOADED(1104),
    LOG_LINES_DROPPED(1105),
    TASK_FAILED(1106),
    LISTENER_FAILED(1107),
    REQUEST_REFUSED(1201),
    REQUEST_PLACED(1202),
    REQUEST_SEND_FAILED(1203),
    REQUEST_ENDED(1204),
    REQUEST_RESUMED(1205),
    CALLER_GONE(1206),
    PROMPT_QUARANTINED(1207),
    QUARANTINE_UNREADABLE(1208),
    REQUEST_CUT(1209),
    CALLER_CUT(1210),
    RESPONSE_DISCARDED(1211),
    RUN_HANDED_OVER(1212),
    CONFIG_IN_FORCE(1401),
    CONFIG_UNREADABLE(1402),
    VERSION_NAMED(1403),
    CONFIG_PARTLY_UNREADABLE(1404),
    UPSTREAM_LISTED(1501),
    UPSTREAM_GONE(1502),
    UPSTREAM_UNREADABLE(1503),
    UPSTREAM_SUSPECT(1504),
    MEMBERS_CHANGED(1505),
    UPSTREAM_WEIGHTS(1506),
    CACHE_NOT_FOLLOWED(1507),
    PEER_NEWS_UNREADABLE(1508),
    MEMBER_UNREADABLE(1509),
    CACHE_DUTY(1510),
    UPSTREAM_LIMITED(1511),
    UPSTREAM_LEAVING(1512),
    UPSTREAM_PAUSED(1513),
    RETRY_AFTER_UNREADABLE(1514),
    UPSTREAM_DRAINING(1515),
    UPSTREAM_ROW_OLDER(1516),
    UPSTREAM_RETAINED(1517),
    UPSTREAM_EXCESS_DATA(1520),
    LEASE_HELD(1601),
    LEASE_LOST(1602),
    ORDER_SENT(1603),
    ORDER_ANSWERED(1604),
    ORDER_FAILED(1605),
    STORE_LOST(1701),
    STORE_REGAINED(1702),
    STORE_WRITE_FAILED(1703),
    STORE_READ_FAILED(1704),
    STORE_BEHIND(1705),
    STORE_ERA(1706),
    TABLE_READ(1707),
    STORE_POLL_OVERDUE(1708),
    PROBER_CHANGED(1709);

    private final int mNumber;

    GatewayEvent(int number) {
        mNumber = number;
    }

    /** Returns the number of the event in the log. */
    public int number() {
        return mNumber;
    }

    /** Returns the name of the event in the log. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
