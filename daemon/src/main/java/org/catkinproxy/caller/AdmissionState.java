package org.catkinproxy.caller;

import org.catkinproxy.config.Configuration;

/**
 * The state of this instance that decides whether callers' requests are admitted.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface AdmissionState {
    /** Returns the active configuration. */
    Configuration configuration();

    /**
     * Returns whether the configuration is known to be recent enough for requests to be dispatched.
     */
    boolean isConfigurationFresh();

    /** Returns whether new requests are accepted; false once a planned stop rejects them. */
    boolean acceptsRequests();
}
