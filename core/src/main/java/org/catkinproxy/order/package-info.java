/**
 * Who may give orders to engines, and which orders are due.
 *
 * <p>Pure: the current time is an argument, actions are results; no I/O, no clock, no threads. May
 * use {@code id}, {@code error} and {@code config} only.
 */
package org.catkinproxy.order;
