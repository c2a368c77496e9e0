package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;

/**
 * The notice that one incarnation of an instance is leaving, which is never revoked.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the instance
 * @param incarnation the leaving incarnation, {@link #ANY_INCARNATION} if it was not known
 */
public record LeaveNotice(InstanceId instance, Incarnation incarnation) {
    /**
     * Stands for the current incarnation of an instance until the platform removes the instance.
     */
    public static final Incarnation ANY_INCARNATION = Incarnation.of("any");

    /** Checks that no component is null. */
    public LeaveNotice {
        checkNotNull(instance, "instance");
        checkNotNull(incarnation, "incarnation");
    }
}
