package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

/**
 * A store beside the engines that keeps prompts which they send there, and what it is believed to
 * have.
 *
 * <p>It serves the load pattern of more shared prompts than the engines' memory holds: what an
 * engine has dropped is copied back instead of computed. Not safe for use by several threads.
 *
 * @param address where engines reach it
 * @param cached what it is believed to have
 */
public record KeptPrompts(HostAndPort address, CachedPrompts cached) {
    /** Checks that all parts are there. */
    public KeptPrompts {
        checkNotNull(address, "address");
        checkNotNull(cached, "cached");
    }
}
