/**
 * The command-line tool {@code catkinctl}.
 *
 * <p>It reaches daemons by the operator interface only, and changes nothing by itself: every change
 * is a request to a daemon. May use the core.
 */
package org.catkinproxy.cli;
