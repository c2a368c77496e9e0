/**
 * The messages of the operator interface, shared by the daemon and the command-line tool.
 *
 * <p>The records are immutable. Jackson maps them to JSON by the names of their components, which
 * therefore must not change. Ids are strings, since a newer daemon may send kinds of ids that an
 * older tool does not know. Must not depend on packages other than {@code id}, {@code config},
 * {@code error} and {@code burn}.
 */
package org.catkinproxy.admin;
