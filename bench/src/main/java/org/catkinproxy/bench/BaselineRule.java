package org.catkinproxy.bench;

import org.catkinproxy.id.BlockKey;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteRequest;

import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** What users would do instead of the product. Stateless. */
enum BaselineRule {
    RANDOM {
        @Override
        EngineReport choose(List<EngineReport> fit, RouteRequest request, Random random, long n) {
            return fit.get(random.nextInt(fit.size()));
        }
    },
    ROUND_ROBIN {
        @Override
        EngineReport choose(List<EngineReport> fit, RouteRequest request, Random random, long n) {
            return fit.get((int) (n % fit.size()));
        }
    },
    LEAST_LOAD {
        @Override
        EngineReport choose(List<EngineReport> fit, RouteRequest request, Random random, long n) {
            return fit.stream()
                    .min(
                            Comparator.comparingDouble(
                                    r -> r.queuedTokens() / r.prefillTokensPerSecond()))
                    .orElseThrow();
        }
    },
    PREFIX_HASH {
        @Override
        EngineReport choose(List<EngineReport> fit, RouteRequest request, Random random, long n) {
            List<BlockKey> keys = request.blocks().keys();
            long name = keys.isEmpty() ? n : keys.get(0).high();
            return fit.stream()
                    .max(Comparator.comparingLong(r -> mix(name, r.engine().value().hashCode())))
                    .orElseThrow();
        }
    };

    /** Chooses among the engines that are up, as far as is known. */
    abstract EngineReport choose(
            List<EngineReport> fit, RouteRequest request, Random random, long n);

    private static long mix(long name, long engine) {
        long z = (name ^ engine * 0x9e37_79b9_7f4a_7c15L) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
