package org.catkinproxy.serving;

/**
 * How an attempt to send a request to an upstream failed, and what follows for the request.
 *
 * <p>Immutable and thread-safe.
 */
public enum SendFailure {
    /** No connection was established, and nothing was sent. */
    NOT_CONNECTED(false, true, false),
    /** Too little time was left when a connection was available, and nothing was sent. */
    EXPIRED(false, true, false),
    /** The upstream accepted no requests any more when a connection was available. */
    NOT_ACCEPTING(false, true, false),
    /** The upstream reported that it did not execute the request. */
    REJECTED(true, true, false),
    /** The connection closed or failed before the response was complete. */
    BROKEN(true, false, true),
    /** The upstream sent nothing for too long. */
    SILENT(true, false, true),
    /** The upstream sent something that is not a valid response to the request. */
    GARBLED(true, false, true),
    /** The upstream responded with an error. */
    ERROR_ANSWER(true, false, false);

    private final boolean mSent;
    private final boolean mNotRun;
    private final boolean mResponseLost;

    SendFailure(boolean sent, boolean notRun, boolean responseLost) {
        mSent = sent;
        mNotRun = notRun;
        mResponseLost = responseLost;
    }

    /** Returns whether anything was sent to the upstream. */
    public boolean isSent() {
        return mSent;
    }

    /** Returns whether the upstream certainly did not and will not execute the request. */
    public boolean isNotRun() {
        return mNotRun;
    }

    /** Returns whether the response, if the upstream produced one, is lost. */
    public boolean isResponseLost() {
        return mResponseLost;
    }
}
