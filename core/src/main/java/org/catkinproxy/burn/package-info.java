/**
 * The request statistics of workspaces, and the rates at which they use up their error budgets.
 *
 * <p>Pure logic: reports are computed from statistics; no I/O, no clock, no threads. Statistics of
 * several daemons are merged by addition, so that a report over merged statistics equals the report
 * over all requests. Must not depend on packages other than {@code id} and {@code config}.
 */
package org.catkinproxy.burn;
