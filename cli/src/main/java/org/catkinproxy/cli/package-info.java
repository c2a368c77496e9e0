/**
 * The command-line tool {@code catkinctl}.
 *
 * <p>The tool uses only the operator interface of the daemons: every change is a request to a
 * daemon.
 *
 * <p>Must not depend on modules of this project other than {@code core}.
 */
package org.catkinproxy.cli;
