package org.catkinproxy.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.Revision;
import org.catkinproxy.revision.ChangeId;
import org.catkinproxy.revision.RevisionMetadata;

/**
 * The JSON form of a head in the rows of the table {@code configuration}.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
record HeadRow(long revision, String change, String digest, String operator, long acceptedMillis) {
    static final String TABLE = "configuration";
    static final String HEAD_KEY = "head";
    static final String HISTORY_PREFIX = "accepted/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the key of a revision's own row; the newest revision has the lowest key. */
    static String historyKey(Revision revision) {
        return HISTORY_PREFIX + String.format("%019d", Long.MAX_VALUE - revision.value());
    }

    static String objectName(ChangeId change) {
        return "sheets/" + change;
    }

    static String write(RevisionMetadata head) {
        HeadRow row =
                new HeadRow(
                        head.revision().value(),
                        head.change().value(),
                        head.digest(),
                        head.operator(),
                        head.acceptedMillis());
        try {
            return MAPPER.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of texts and numbers can be written", e);
        }
    }

    static RevisionMetadata read(String json) {
        try {
            HeadRow row = MAPPER.readValue(json, HeadRow.class);
            return new RevisionMetadata(
                    Revision.of(row.revision()),
                    ChangeId.of(row.change()),
                    row.digest(),
                    row.operator(),
                    row.acceptedMillis());
        } catch (JsonProcessingException e) {
            throw CatkinException.of(
                    ErrorCode.INTERNAL,
                    Step.CONFIGURE,
                    "store",
                    Outcome.NOT_RUN,
                    "a row of the table configuration can not be read: " + e.getOriginalMessage(),
                    e);
        }
    }
}
