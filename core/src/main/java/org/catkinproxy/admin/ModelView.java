package org.catkinproxy.admin;

/**
 * A model of a workspace, with the weights that serve it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the id of the workspace
 * @param model the model name that callers request
 * @param adapter the id of the adapter, or {@code base} for none
 * @param version the version of the weights
 * @param pool the id of the pool whose engines have the weights
 */
public record ModelView(
        String workspace, String model, String adapter, String version, String pool) {}
