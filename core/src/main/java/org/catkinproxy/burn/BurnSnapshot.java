package org.catkinproxy.burn;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.Objectives;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Map;

/**
 * What one daemon counted, with the objectives it knows.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the daemon
 * @param revision the configuration that the objectives are from
 * @param objectives the objectives of each workspace
 * @param cells the figures
 */
public record BurnSnapshot(
        InstanceId instance,
        Revision revision,
        Map<WorkspaceId, Objectives> objectives,
        List<BurnCell> cells) {
    /** Copies the collections. */
    public BurnSnapshot {
        checkNotNull(instance, "instance");
        checkNotNull(revision, "revision");
        objectives = Map.copyOf(objectives);
        cells = List.copyOf(cells);
    }
}
