package org.catkinproxy.admin;

/**
 * A configuration revision that was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision
 * @param operator the name of the operator who applied the sheet
 * @param acceptedMillis when the revision was accepted, in milliseconds since the Unix epoch
 */
public record AcceptedRevisionView(long revision, String operator, long acceptedMillis) {}
