package org.catkinproxy.standin.platform;

import java.time.Duration;

/**
 * How the stand-in for the platform behaves without faults.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param listLag how late the instance list shows a change
 * @param freeLoads how many downloads of weights at a time do not slow each other down
 * @param loadsPerSecond how many downloads of weights may begin in a second
 */
public record PlatformOptions(Duration listLag, int freeLoads, int loadsPerSecond) {
    /** A list without lag, and weights for a small deployment. */
    public static final PlatformOptions DEFAULT = new PlatformOptions(Duration.ZERO, 2, 10);

    /** Returns the same options with another lag of the instance list. */
    public PlatformOptions withListLag(Duration lag) {
        return new PlatformOptions(lag, freeLoads, loadsPerSecond);
    }
}
