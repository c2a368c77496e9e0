package org.catkinproxy.stream;

/** The reason why a connection to an engine failed, and its consequences. Immutable. */
public enum ConnectionFailure {
    /** No connection was established; the engine received nothing. */
    NOT_CONNECTED(false, false),
    /** The engine rejected the request before doing any work. */
    REJECTED(false, false),
    /** The engine does not have the generation that was to be resumed. */
    NOT_FOUND(false, true),
    /** The connection broke. */
    BROKEN(true, true),
    /** No data arrived for longer than the engine's heartbeats allow. */
    SILENT(true, true),
    /** The engine sent data that is not a valid event of this stream. */
    INVALID(true, true),
    /** The engine reported an error. */
    ENGINE_ERROR(false, true);

    private final boolean mResumable;
    private final boolean mMayHaveReachedEngine;

    ConnectionFailure(boolean resumable, boolean mayHaveReachedEngine) {
        mResumable = resumable;
        mMayHaveReachedEngine = mayHaveReachedEngine;
    }

    /** Returns whether the same engine may still have the generation. */
    public boolean isResumable() {
        return mResumable;
    }

    /** Returns whether the engine may have received the request. */
    public boolean mayHaveReachedEngine() {
        return mMayHaveReachedEngine;
    }
}
