package org.catkinproxy.stop;

/** The state of the planned stop of an entry instance. Immutable. */
public enum StopState {
    /** No stop was requested. */
    SERVING(true, true),
    /** The instance is not advertised any more, but serves callers that still know its address. */
    ANNOUNCED(false, true),
    /** New requests are rejected with outcome {@code NOT_RUN}; open requests continue. */
    DRAINING(false, false),
    /** All requests have ended; the in-memory state is being transferred to a peer. */
    HANDING_OVER(false, false),
    /** The stop is complete; the process may end. */
    LEFT(false, false);

    private final boolean mAdvertised;
    private final boolean mAccepting;

    StopState(boolean advertised, boolean accepting) {
        mAdvertised = advertised;
        mAccepting = accepting;
    }

    /** Returns whether entry lists for callers may contain the instance. */
    public boolean isAdvertised() {
        return mAdvertised;
    }

    /** Returns whether new requests are accepted. */
    public boolean isAccepting() {
        return mAccepting;
    }
}
