package org.catkinproxy.burn;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.ServiceLevelObjectives;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Map;

/**
 * The request statistics of one daemon, with the objectives that it knows.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the id of the daemon
 * @param revision the revision of the configuration that the objectives are from
 * @param objectives the service-level objectives by workspace
 * @param engineStats the statistics, one element for each workspace and engine
 */
public record RequestStatsSnapshot(
        InstanceId instance,
        Revision revision,
        Map<WorkspaceId, ServiceLevelObjectives> objectives,
        List<WorkspaceEngineStats> engineStats) {
    /** Copies the collections. */
    public RequestStatsSnapshot {
        checkNotNull(instance, "instance");
        checkNotNull(revision, "revision");
        objectives = Map.copyOf(objectives);
        engineStats = List.copyOf(engineStats);
    }
}
