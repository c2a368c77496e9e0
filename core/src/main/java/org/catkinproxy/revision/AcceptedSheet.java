package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.SheetCodec;
import org.catkinproxy.id.Revision;

import java.nio.charset.StandardCharsets;

/**
 * An accepted configuration sheet with its complete content.
 *
 * <p>Invariant: the content has the digest that the metadata names. Immutable and thread-safe.
 *
 * @param metadata identifies the revision of the sheet
 * @param csv the content of the sheet as CSV
 */
public record AcceptedSheet(RevisionMetadata metadata, String csv) {
    /** Checks that the content has the digest that the metadata names. */
    public AcceptedSheet {
        checkNotNull(metadata, "head");
        checkNotNull(csv, "csv");
        checkArgument(
                metadata.digest().equals(digestOf(csv)),
                "the content of revision %s does not have the digest of its metadata",
                metadata.revision());
    }

    /** Returns the digest of a sheet: the SHA-256 of its UTF-8 form, in hexadecimal. */
    public static String digestOf(String csv) {
        return Hashing.sha256().hashString(csv, StandardCharsets.UTF_8).toString();
    }

    /** Returns the revision as which the sheet was accepted. */
    public Revision revision() {
        return metadata.revision();
    }

    /**
     * Parses the sheet and returns the configuration that it contains.
     *
     * @throws org.catkinproxy.error.CatkinException with code {@code INVALID_SHEET} if the sheet
     *     has errors
     */
    public Configuration configuration() {
        return SheetCodec.parse(csv).configuration().withRevision(metadata.revision());
    }
}
