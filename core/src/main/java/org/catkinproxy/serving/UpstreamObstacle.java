package org.catkinproxy.serving;

/** Why an upstream must not get new requests, however many others may get them. */
public enum UpstreamObstacle {
    /** The upstream is no longer listed, or has started anew since. */
    GONE("upstream is no longer listed"),
    /** The upstream is listed as draining, or has said that it leaves. */
    LEAVING("upstream leaves"),
    /** The upstream wants no requests for a time. */
    PAUSED("upstream pauses");

    private final String mReason;

    UpstreamObstacle(String reason) {
        mReason = reason;
    }

    /** Returns the obstacle as a reason for the log. */
    public String reason() {
        return mReason;
    }
}
