/**
 * The messages of the operator interface, shared by the daemon and the command-line tool.
 *
 * <p>Immutable records that Jackson reads and writes as they stand; ids are spelt as strings, since
 * a newer daemon may know kinds of ids that an older tool does not. May use {@code id}, {@code
 * config}, {@code error} and {@code burn} only.
 */
package org.catkinproxy.admin;
