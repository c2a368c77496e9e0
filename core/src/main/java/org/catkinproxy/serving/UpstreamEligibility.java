package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which upstreams may get new work.
 *
 * <p>Three things keep work from an upstream: an {@link UpstreamObstacle}, its limit is used up, or
 * it is suspect or rejects requests. The first two hold without exception. The last only makes
 * other upstreams preferable, as the estimate may be wrong. Has no state of its own; used by the
 * thread that owns the states and the permission.
 */
public final class UpstreamEligibility {
    private final SendPermission mPermission;

    private UpstreamEligibility(SendPermission permission) {
        mPermission = permission;
    }

    /** Returns the checks under the limits of {@code permission}. */
    public static UpstreamEligibility of(SendPermission permission) {
        return new UpstreamEligibility(permission);
    }

    /** Returns whether the upstream may get a new request. */
    public boolean mayGetRequest(UpstreamState state, long now) {
        return state.acceptsRequests(now) && mPermission.maySend(state.upstream(), now);
    }

    /**
     * Returns why a request that was already counted against the limit must not be sent after all,
     * empty if it may.
     */
    public Optional<UpstreamObstacle> obstacleToCountedRequest(UpstreamState state, long now) {
        return state.obstacle(now);
    }

    /**
     * Returns the available upstreams that may get a request, or if there are none, all that may.
     *
     * @param states the states of the service's upstreams
     * @param excluded the upstreams that must not get the request
     * @param now the time, in ns
     */
    public List<UpstreamState> eligible(
            Collection<UpstreamState> states, Set<InstanceId> excluded, long now) {
        List<UpstreamState> others =
                states.stream()
                        .filter(s -> !excluded.contains(s.upstream().id()))
                        .filter(s -> mayGetRequest(s, now))
                        .toList();
        List<UpstreamState> available = others.stream().filter(s -> s.isAvailable(now)).toList();
        return available.isEmpty() ? others : available;
    }

    /**
     * Returns the upstreams whose limit leaves room for another request, or if there are none, all.
     */
    List<UpstreamState> preferSpare(List<UpstreamState> eligible, long now) {
        List<UpstreamState> spare =
                eligible.stream().filter(s -> mPermission.maySendSpare(s.upstream(), now)).toList();
        return spare.isEmpty() ? eligible : spare;
    }
}
