package org.catkinproxy.upstream;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How long engines are waited for.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param connectMillis the time to make a connection
 * @param silenceMillis the time without any byte after which a stream is abandoned; well above the
 *     500 ms between an engine's heartbeats
 * @param controlMillis the time for a load report, a snapshot or a cancellation
 */
public record EngineTimeouts(int connectMillis, int silenceMillis, int controlMillis) {
    /** Checks that all times are positive. */
    public EngineTimeouts {
        checkArgument(connectMillis > 0, "connectMillis: %s", connectMillis);
        checkArgument(silenceMillis > 0, "silenceMillis: %s", silenceMillis);
        checkArgument(controlMillis > 0, "controlMillis: %s", controlMillis);
    }
}
