package org.catkinproxy.demo;

/**
 * One instance of a cluster with its process.
 *
 * <p>Immutable but for the process, and safe for use by any thread.
 *
 * @param id the name in the instance list
 * @param kind {@code entry}, {@code engine} or {@code service}
 * @param address IP number and port for callers or routers
 * @param operators IP number and port for operators, empty for others than daemons
 * @param peers IP number and port for other daemons, empty for others than daemons
 * @param pool the pool in the sheet, empty for daemons
 * @param process the process
 */
public record Member(
        String id,
        String kind,
        String address,
        String operators,
        String peers,
        String pool,
        ManagedProcess process) {
    /** Returns the address as a URL without a path. */
    public String url() {
        return "http://" + address;
    }

    /** Returns the operators' address as a URL without a path. */
    public String operatorUrl() {
        return "http://" + operators;
    }
}
