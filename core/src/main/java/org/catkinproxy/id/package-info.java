/**
 * Value types for ids, keys, versions and revisions.
 *
 * <p>All public types are immutable, thread-safe records that validate their components. Must not
 * depend on other packages of the project.
 */
package org.catkinproxy.id;
