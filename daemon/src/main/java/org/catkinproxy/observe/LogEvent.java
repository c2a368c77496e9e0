package org.catkinproxy.observe;

import org.apache.logging.log4j.Level;

/**
 * Every event that the daemon logs, with its number, level and template.
 *
 * <p>Numbers are never used again for another event. docs/EVENTS.md is the catalogue for people on
 * call. Immutable.
 */
public enum LogEvent {
    // 100: process
    DAEMON_STARTED(101, Level.INFO, "instance {} serves callers on {}"),
    DAEMON_STOPPED(102, Level.INFO, "instance {} stopped"),
    TASK_FAILED(103, Level.ERROR, "task {} failed on a message: {}"),
    STOP_CUT_SHORT(104, Level.WARN, "the stop took longer than {}; open requests are cut"),
    // 200: callers and streams
    REQUEST_REFUSED(201, Level.INFO, "request {} refused: {}"),
    STREAM_CONTINUED(202, Level.WARN, "request {} continues after token {} on engine {}: {}"),
    STREAM_BROKEN(203, Level.ERROR, "request {} could not be continued after token {}: {}"),
    ENGINE_LOST(204, Level.WARN, "engine {} does not answer; it gets no new work"),
    ENGINE_BACK(205, Level.INFO, "engine {} answers again"),
    // 300: calls that may not be repeated
    CALL_READ_FAILED(301, Level.WARN, "call {} could not be read: {}"),
    CALL_WRITE_FAILED(302, Level.WARN, "call {} may not have been written: {}"),
    CALL_UNKNOWN(303, Level.WARN, "call {} attempt {} answered with outcome unknown: {}"),
    CALL_CONTRADICTED(304, Level.ERROR, "call {} ran, though operator {} settled it as not run"),
    CALL_RESOLVED(305, Level.INFO, "call {} settled by operator {}: ran={}, {}"),
    CALL_RECORDED(306, Level.INFO, "call {} recorded from the service's own account"),
    CALL_ROW_MALFORMED(307, Level.ERROR, "row {} of the calls can not be read: {}"),
    CALL_SWEEP_FAILED(308, Level.WARN, "open calls could not be looked through: {}"),
    // 400: configuration
    SHEET_ACCEPTED(401, Level.INFO, "revision {} accepted for operator {}"),
    REVISION_IN_FORCE(402, Level.INFO, "revision {} of operator {} is in force"),
    REVISION_NOT_LOADED(403, Level.WARN, "revision {} could not be loaded from {}: {}"),
    CONFIGURATION_NOT_FRESH(404, Level.WARN, "revision {} may be out of date: no new requests"),
    // 500: peers and membership
    PEER_FAILED(501, Level.DEBUG, "instance {} did not answer: {}"),
    PEER_SERVER_FAILED(502, Level.ERROR, "the listener for peers failed: {}"),
    STOP_STEP(510, Level.INFO, "planned stop: {}"),
    STOP_NOT_TOLD(511, Level.WARN, "planned stop: a peer was not told at once: {}"),
    // 600: orders and leases
    LEASE_HELD(601, Level.INFO, "holds the lease of pool {} with fencing number {}"),
    LEASE_LOST(602, Level.WARN, "no longer holds the lease of pool {} with fencing number {}"),
    ORDER_GIVEN(603, Level.INFO, "orders {} of {} at engine {} with fencing number {}"),
    ORDER_FAILED(604, Level.WARN, "an order to pool {} failed: {}"),
    // 700: platform
    STORE_FAILED(701, Level.WARN, "store did not answer {}: {}"),
    // 800: operators
    OPERATOR_REFUSED(801, Level.WARN, "operator request {} refused: {}"),
    STOP_REQUESTED(802, Level.INFO, "operator {} asked for a planned stop of {}"),
    TLS_RELOADED(803, Level.INFO, "keys of the {} listener were read again"),
    TLS_RELOAD_FAILED(804, Level.ERROR, "keys of the {} listener stay as they were: {}"),
    ;

    private final int mNumber;
    private final Level mLevel;
    private final String mTemplate;

    LogEvent(int number, Level level, String template) {
        mNumber = number;
        mLevel = level;
        mTemplate = template;
    }

    /** Returns the event's number. */
    public int number() {
        return mNumber;
    }

    /** Returns the level at which it is logged. */
    public Level level() {
        return mLevel;
    }

    /** Returns the message with {@code {}} in place of each argument. */
    public String template() {
        return mTemplate;
    }
}
