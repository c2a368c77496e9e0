package org.catkinproxy.standin;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.List;

/**
 * Model, adapter and version as they are written on the wire.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param model the model
 * @param adapter the adapter
 * @param version the version
 */
public record WeightsName(String model, String adapter, String version) {
    /** Checks that all parts are there. */
    public WeightsName {
        checkArgument(!model.isEmpty(), "model is empty");
        checkArgument(!adapter.isEmpty(), "adapter is empty");
        checkArgument(!version.isEmpty(), "version is empty");
    }

    /** Reads {@code {"model","adapter","version"}}. */
    public static WeightsName of(JsonNode json) {
        return new WeightsName(
                json.path("model").asText(),
                json.path("adapter").asText(),
                json.path("version").asText());
    }

    /** Reads {@code model/adapter/version}. */
    public static WeightsName parse(String text) {
        List<String> parts = List.of(text.split("/"));
        checkArgument(parts.size() == 3, "weights are model/adapter/version: '%s'", text);
        return new WeightsName(parts.get(0), parts.get(1), parts.get(2));
    }

    @Override
    public String toString() {
        return model + "/" + adapter + "/" + version;
    }
}
