package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;

/**
 * One start of an upstream. What instances know of an upstream does not outlive its process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the id of the upstream, which may stay the same after a restart
 * @param incarnation the start of the process
 */
public record UpstreamStart(InstanceId upstream, Incarnation incarnation) {
    /** Checks that no component is null. */
    public UpstreamStart {
        checkNotNull(upstream, "upstream");
        checkNotNull(incarnation, "incarnation");
    }

    /** Returns the current start of {@code upstream}. */
    public static UpstreamStart of(Upstream upstream) {
        return new UpstreamStart(upstream.id(), upstream.incarnation());
    }
}
