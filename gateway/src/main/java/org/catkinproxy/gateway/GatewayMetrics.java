package org.catkinproxy.gateway;

import org.catkinproxy.serving.CallKind;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The metrics of the gateway.
 *
 * <p>Recording updates plain fields only. The meter registry is created at the first scrape, since
 * creating it takes longer than the rest of the startup. Used by the event loop only.
 */
final class GatewayMetrics {
    /** Upper bounds of the latency buckets, in ms. */
    private static final long[] BUCKET_BOUNDS_MILLIS = {
        10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400
    };

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String OVERFLOW_BOUND = "other";

    private final Map<String, long[]> mRequestCounts = new HashMap<>();
    private final Map<CallKind, long[]> mDurationBuckets = new HashMap<>();
    private final long[] mFirstEventBuckets = new long[BUCKET_BOUNDS_MILLIS.length + 1];
    private PrometheusMeterRegistry mRegistry;

    /** Records a finished request; the outcome is counted without what follows its first colon. */
    void recordRequest(CallKind kind, String outcome, long nanos) {
        int colon = outcome.indexOf(':');
        String name = colon < 0 ? outcome : outcome.substring(0, colon);
        mRequestCounts.computeIfAbsent(kind.name() + " " + name, k -> new long[1])[0]++;
        long[] buckets =
                mDurationBuckets.computeIfAbsent(
                        kind, k -> new long[BUCKET_BOUNDS_MILLIS.length + 1]);
        buckets[bucketIndex(nanos)]++;
    }

    /** Records the time to the first event of a stream. */
    void recordFirstEvent(long nanos) {
        mFirstEventBuckets[bucketIndex(nanos)]++;
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape(Gateway gateway) {
        if (mRegistry == null) {
            mRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            Gauge.builder(
                            "catkinproxy.gateway.open.requests",
                            gateway,
                            g -> g.openRequests().count())
                    .register(mRegistry);
            Gauge.builder("catkinproxy.gateway.instances", gateway, Gateway::instanceCount)
                    .register(mRegistry);
            Gauge.builder(
                            "catkinproxy.gateway.peer.requests",
                            gateway,
                            g -> g.peerLoads().totalRequests())
                    .register(mRegistry);
            Gauge.builder(
                            "catkinproxy.gateway.quarantines",
                            gateway,
                            g -> g.promptGuard().quarantineCount())
                    .register(mRegistry);
            Gauge.builder(
                            "catkinproxy.gateway.config.problems",
                            gateway,
                            Gateway::configProblemCount)
                    .register(mRegistry);
            counter(
                    "catkinproxy.gateway.log.dropped",
                    Tags.empty(),
                    gateway,
                    g -> g.log().droppedLines());
        }
        mRequestCounts.forEach((kindAndOutcome, count) -> bindRequestCount(kindAndOutcome, count));
        mDurationBuckets.forEach(
                (kind, counts) ->
                        bindHistogram(
                                "catkinproxy.gateway.request",
                                Tags.of("kind", kind.name().toLowerCase(Locale.ROOT)),
                                counts));
        bindHistogram("catkinproxy.gateway.first.event", Tags.empty(), mFirstEventBuckets);
        return mRegistry.scrape();
    }

    private void bindRequestCount(String kindAndOutcome, long[] count) {
        int space = kindAndOutcome.indexOf(' ');
        Tags tags =
                Tags.of(
                        "kind", kindAndOutcome.substring(0, space).toLowerCase(Locale.ROOT),
                        "outcome", kindAndOutcome.substring(space + 1));
        counter("catkinproxy.gateway.requests", tags, count, c -> c[0]);
    }

    private void bindHistogram(String name, Tags tags, long[] counts) {
        for (int i = 0; i <= BUCKET_BOUNDS_MILLIS.length; i++) {
            String bound =
                    i < BUCKET_BOUNDS_MILLIS.length
                            ? Long.toString(BUCKET_BOUNDS_MILLIS[i])
                            : OVERFLOW_BOUND;
            int bucket = i;
            counter(name + ".up.to.ms", tags.and("ms", bound), counts, c -> c[bucket]);
        }
    }

    private <T> void counter(String name, Tags tags, T state, ToDoubleFunction<T> value) {
        FunctionCounter.builder(name, state, value).tags(tags).register(mRegistry);
    }

    private static int bucketIndex(long nanos) {
        int i = 0;
        while (i < BUCKET_BOUNDS_MILLIS.length
                && nanos > BUCKET_BOUNDS_MILLIS[i] * NANOS_PER_MILLI) {
            i++;
        }
        return i;
    }
}
