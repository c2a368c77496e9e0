package org.catkinproxy.burn;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

/**
 * The statistics of the requests of one workspace to one engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace
 * @param engine the id of the engine, or {@link #NO_ENGINE} for requests that reached no engine
 * @param shortWindow the statistics of the short window
 * @param longWindow the statistics of the long window
 */
public record WorkspaceEngineStats(
        WorkspaceId workspace, String engine, RequestStats shortWindow, RequestStats longWindow) {
    /** The value of {@code engine} for requests that reached no engine. */
    public static final String NO_ENGINE = "none";

    /** Checks that no component is null. */
    public WorkspaceEngineStats {
        checkNotNull(workspace, "workspace");
        checkNotNull(engine, "engine");
        checkNotNull(shortWindow, "shortWindow");
        checkNotNull(longWindow, "longWindow");
    }
}
