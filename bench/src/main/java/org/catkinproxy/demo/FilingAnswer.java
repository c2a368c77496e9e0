package org.catkinproxy.demo;

/**
 * What a caller was told of a filing.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param status the HTTP status, 0 if there was no answer
 * @param kind what the answer says
 * @param code the error code, empty if there is none
 * @param body the answer's body
 */
public record FilingAnswer(int status, Kind kind, String code, String body) {
    /** There was no connection, so nothing was sent. */
    public static final FilingAnswer NOT_CONNECTED =
            new FilingAnswer(0, Kind.NOT_CONNECTED, "", "");

    /** The connection was lost without an answer. */
    public static final FilingAnswer NONE = new FilingAnswer(0, Kind.SILENT, "", "");

    static FilingAnswer of(Web.Answer answer) {
        Kind kind = Kind.UNKNOWN;
        if (answer.isSuccess()) {
            kind = Kind.DONE;
        } else if (answer.outcome().equals("not_run")) {
            kind = Kind.NOT_RUN;
        } else if (answer.outcome().equals("ran")) {
            kind = Kind.RAN;
        }
        return new FilingAnswer(answer.status(), kind, answer.code(), answer.body());
    }

    /** Tells whether a caller may send the filing again with the same key. */
    public boolean mayBeRepeated() {
        return kind != Kind.DONE && kind != Kind.RAN;
    }

    /** What an answer says of the filing. Immutable. */
    public enum Kind {
        DONE,
        RAN,
        NOT_RUN,
        UNKNOWN,
        SILENT,
        NOT_CONNECTED
    }
}
