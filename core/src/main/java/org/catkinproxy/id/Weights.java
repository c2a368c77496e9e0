package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names exactly the weights that answer a request: model, adapter and version.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param model the model
 * @param adapter the adapter, {@link AdapterId#BASE} where there is none
 * @param version the version of both
 */
public record Weights(ModelId model, AdapterId adapter, WeightsVersion version) {
    /** Checks that all parts are there. */
    public Weights {
        checkNotNull(model, "model");
        checkNotNull(adapter, "adapter");
        checkNotNull(version, "version");
    }

    /** Returns the weights spelt by the three parts. */
    public static Weights of(String model, String adapter, String version) {
        return new Weights(ModelId.of(model), AdapterId.of(adapter), WeightsVersion.of(version));
    }

    @Override
    public String toString() {
        return model + "/" + adapter + "@" + version;
    }
}
