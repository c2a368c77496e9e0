package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Incarnation;

import java.util.Optional;

/**
 * What one instance is known to be at one moment.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param info what the platform says of it
 * @param leaving whether it gets no new work because it leaves
 * @param reachable whether it answered when it was last tried
 * @param incarnation its present start, if it has been heard from
 * @param loadPermille how busy it said it is, in thousandths of what it can do
 */
public record MemberState(
        InstanceInfo info,
        boolean leaving,
        boolean reachable,
        Optional<Incarnation> incarnation,
        int loadPermille) {
    /** Checks that all parts are there. */
    public MemberState {
        checkNotNull(info, "info");
        checkNotNull(incarnation, "incarnation");
    }

    /** Tells whether the instance may be given new work. */
    public boolean isUsable() {
        return !leaving && reachable;
    }
}
