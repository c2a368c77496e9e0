package org.catkinproxy.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections of callers and the requests that are open.
 *
 * <p>A request may be open after its connection has ended: one that runs once goes on without its
 * caller. Used by the event loop only.
 */
final class OpenRequests {
    private final Set<CallerConnection> mConnections = new HashSet<>();
    private final Set<Exchange> mExchanges = new HashSet<>();

    void add(CallerConnection connection) {
        mConnections.add(connection);
    }

    void add(Exchange exchange) {
        mExchanges.add(exchange);
    }

    void remove(CallerConnection connection) {
        mConnections.remove(connection);
    }

    void remove(Exchange exchange) {
        mExchanges.remove(exchange);
    }

    /** Returns the number of open requests. */
    int count() {
        return mExchanges.size();
    }

    /** Returns whether no caller waits for a response, or for the rest of one. */
    boolean isDrained() {
        return mExchanges.isEmpty() && mConnections.stream().allMatch(CallerConnection::isSettled);
    }

    void closeTimedOutConnections(long now) {
        List.copyOf(mConnections).forEach(c -> c.closeIfTimedOut(now));
    }

    /** Ends the requests whose prompts are now quarantined. */
    void endQuarantined() {
        List.copyOf(mExchanges).forEach(Exchange::endIfQuarantined);
    }

    /** Answers all requests whose responses have not begun, as the process ends. */
    void endForStop() {
        List.copyOf(mExchanges).forEach(Exchange::endForStop);
        List.copyOf(mConnections).forEach(CallerConnection::refusePartialRequest);
    }

    /** Logs what the end of the process cuts off. */
    void logCuts() {
        mExchanges.forEach(Exchange::logCut);
        mConnections.forEach(CallerConnection::logCut);
    }

    /** Closes all connections of callers, as the exit of the process may take a while. */
    void closeConnections() {
        List.copyOf(mConnections).forEach(CallerConnection::abort);
    }
}
