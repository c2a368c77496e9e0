package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * The memory of a run that has been stopped or broken off, from which another engine goes on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param keeper the engine under whose address the copy is known
 * @param handle the copy's name there
 */
public record RunCopy(HostAndPort keeper, String handle) {
    /** Validates the components. */
    public RunCopy {
        checkNotNull(keeper, "keeper");
        checkArgument(!handle.isEmpty(), "handle is empty");
    }
}
