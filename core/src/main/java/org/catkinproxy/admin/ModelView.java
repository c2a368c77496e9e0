package org.catkinproxy.admin;

/**
 * A model of a workspace and the weights that answer for it.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace
 * @param model what callers ask for
 * @param adapter the adapter
 * @param version the version of the weights
 * @param pool the engines that hold them
 */
public record ModelView(
        String workspace, String model, String adapter, String version, String pool) {}
