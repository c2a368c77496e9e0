package org.catkinproxy.error;

/** Whether the work of a failed request was done, as far as is known. Immutable. */
public enum Outcome {
    /** The work was not done: no byte of the request has reached or can still reach an upstream. */
    NOT_RUN("not_run"),
    /** The work may or may not have been done. */
    UNKNOWN("unknown"),
    /** The work was done, completely or in part. */
    RAN("ran");

    private final String mWireName;

    Outcome(String wire) {
        mWireName = wire;
    }

    /** Returns the name used in error bodies. */
    public String wireName() {
        return mWireName;
    }
}
