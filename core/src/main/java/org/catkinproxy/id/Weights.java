package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The exact weights that serve a request: model, adapter and version.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model
 * @param adapter the adapter, or {@link AdapterId#BASE} for none
 * @param version the version of the model and adapter
 */
public record Weights(ModelId model, AdapterId adapter, WeightsVersion version) {
    /** Checks that no component is null. */
    public Weights {
        checkNotNull(model, "model");
        checkNotNull(adapter, "adapter");
        checkNotNull(version, "version");
    }

    /**
     * Returns the weights with the given model, adapter and version.
     *
     * @throws IllegalArgumentException if one of them is not of the allowed form
     */
    public static Weights of(String model, String adapter, String version) {
        return new Weights(ModelId.of(model), AdapterId.of(adapter), WeightsVersion.of(version));
    }

    @Override
    public String toString() {
        return model + "/" + adapter + "@" + version;
    }
}
