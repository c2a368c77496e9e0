package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Revision;

/**
 * Identifies an accepted sheet without its content.
 *
 * <p>The store accepts one change per revision, so all metadata of one revision is equal. Immutable
 * and thread-safe.
 *
 * @param revision the revision as which the sheet was accepted
 * @param change the attempt that was accepted
 * @param digest the SHA-256 of the sheet's UTF-8 form, in hexadecimal
 * @param operator the operator who submitted the sheet
 * @param acceptedMillis when the sheet was accepted, in milliseconds since the Unix epoch by the
 *     clock of the accepting instance
 */
public record RevisionMetadata(
        Revision revision, ChangeId change, String digest, String operator, long acceptedMillis) {
    /** Checks that no component is null. */
    public RevisionMetadata {
        checkNotNull(revision, "revision");
        checkNotNull(change, "change");
        checkNotNull(digest, "digest");
        checkNotNull(operator, "operator");
    }
}
