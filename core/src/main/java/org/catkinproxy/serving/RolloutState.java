package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;

import java.util.Map;
import java.util.Set;

/**
 * How far a rollout of weights is, as its holder tells the other instances.
 *
 * <p>A hint: it saves requests that the engines would reject. Immutable.
 *
 * @param changing the engines that change or are about to, and reject what they have not begun
 * @param done the weights of engines that have changed, before the platform's list says so
 */
public record RolloutState(Set<InstanceId> changing, Map<InstanceId, Map<ModelId, Integer>> done) {
    /** Copies both parts. */
    public RolloutState {
        changing = Set.copyOf(changing);
        done = Map.copyOf(done);
    }
}
