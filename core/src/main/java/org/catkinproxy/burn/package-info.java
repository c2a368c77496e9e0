/**
 * How fast workspaces use up what their objectives allow to go wrong: the burn report.
 *
 * <p>Pure: figures in, report out; no I/O, no clock, no threads. Figures of several daemons are
 * merged by addition, so a report over merged figures is the report over all their requests. May
 * use {@code id} and {@code config} only.
 */
package org.catkinproxy.burn;
