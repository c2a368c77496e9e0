package org.catkinproxy.demo;

import java.nio.file.Path;
import java.util.List;

/**
 * What a cluster consists of.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param directory where settings and logs are written
 * @param basePort the first port to try
 * @param daemons how many daemons
 * @param engines the engines
 * @param services how many instances of the plain service
 * @param listLagMs how late the instance list is, in milliseconds
 * @param preloaded how many versions of the weights, from v1 on, engines have at the start
 */
public record ClusterOptions(
        Path directory,
        int basePort,
        int daemons,
        List<EngineSpec> engines,
        int services,
        int listLagMs,
        int preloaded) {
    /** The first port that is tried if none is given. */
    public static final int DEFAULT_BASE_PORT = 18_000;

    /** Copies the list. */
    public ClusterOptions {
        engines = List.copyOf(engines);
    }

    /** Returns three daemons, four engines of different speeds in two pools, and two services. */
    public static ClusterOptions small(Path directory, int basePort, int preloaded) {
        return new ClusterOptions(
                directory,
                basePort,
                3,
                List.of(
                        new EngineSpec("gpu-a", 8, 256, 20_000, 100, true),
                        new EngineSpec("gpu-a", 8, 128, 10_000, 60, true),
                        new EngineSpec("gpu-a", 4, 64, 5_000, 40, true),
                        new EngineSpec("gpu-b", 8, 256, 15_000, 80, false)),
                2,
                500,
                preloaded);
    }
}
