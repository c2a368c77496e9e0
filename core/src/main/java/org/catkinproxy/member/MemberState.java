package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Incarnation;

import java.util.Optional;

/**
 * A snapshot of the known state of one instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param info the properties from the platform's instance list
 * @param leaving whether the instance is leaving and receives no new work
 * @param reachable false after several consecutive requests to the instance failed
 * @param incarnation the current incarnation, empty if the instance has not responded yet
 * @param loadPermille the load that the instance reported, in thousandths of its capacity
 */
public record MemberState(
        InstanceInfo info,
        boolean leaving,
        boolean reachable,
        Optional<Incarnation> incarnation,
        int loadPermille) {
    /** Checks that no component is null. */
    public MemberState {
        checkNotNull(info, "info");
        checkNotNull(incarnation, "incarnation");
    }

    /** Returns whether the instance may receive new work. */
    public boolean isUsable() {
        return !leaving && reachable;
    }
}
