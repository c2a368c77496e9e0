package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;

import java.util.Map;
import java.util.Set;

/**
 * The progress of a weights rollout, as the lease holder reports it to the other instances.
 *
 * <p>The state is only a hint: it avoids sending requests that the engines would reject. Immutable
 * and thread-safe.
 *
 * @param changingEngines the engines that change their weights or are about to; they reject
 *     requests that they have not begun
 * @param confirmedVersions the weights versions that engines reported after a change, possibly
 *     before the platform's registry lists them
 */
public record RolloutState(
        Set<InstanceId> changingEngines, Map<InstanceId, Map<ModelId, Integer>> confirmedVersions) {
    /** Copies the components. */
    public RolloutState {
        changingEngines = Set.copyOf(changingEngines);
        confirmedVersions = Map.copyOf(confirmedVersions);
    }
}
