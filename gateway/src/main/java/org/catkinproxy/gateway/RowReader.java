package org.catkinproxy.gateway;

import org.catkinproxy.id.ModelId;
import org.catkinproxy.serving.ServingConfig;
import org.catkinproxy.serving.Upstream;

import java.util.Optional;

/**
 * Decodes the rows that operators and upstreams write to the store.
 *
 * <p>Implementations are stateless. Each method throws {@link IllegalArgumentException} if the
 * content is malformed.
 */
public interface RowReader {
    /** Returns the name of the table that operators write. */
    String operatorTable();

    /** Returns the name of the table in which upstreams register. */
    String upstreamTable();

    /** Returns whether the operators' row with this key holds the configuration. */
    boolean isConfigKey(String key);

    /** Decodes the configuration. */
    ServingConfig readConfig(byte[] content);

    /** Decodes the desired version of a model's weights, empty if the row holds something else. */
    Optional<DesiredVersion> readDesiredVersion(String key, byte[] content);

    /** Decodes the entry of an upstream. */
    Upstream readUpstream(String key, byte[] content);

    /**
     * The version of a model's weights that the operators want in service.
     *
     * @param model the model
     * @param version the desired version
     */
    record DesiredVersion(ModelId model, int version) {}
}
