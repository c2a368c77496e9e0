package org.catkinproxy.observe;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.WorkspaceId;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * The metrics of one daemon.
 *
 * <p>Labels take a bounded number of values. Safe for use by any thread.
 */
public final class Metrics {
    private static final int MAX_WORKSPACES = 64;
    private static final int MAX_ENGINES = 256;
    private static final String ANSWERED = "answered";
    private static final String REFUSED = "refused";
    private static final String FAILED = "failed";
    private static final Duration[] FIRST_TOKEN_BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200),
        Duration.ofMillis(10_000)
    };

    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final BoundedLabel mWorkspaces = new BoundedLabel(MAX_WORKSPACES);
    private final BoundedLabel mEngines = new BoundedLabel(MAX_ENGINES);

    private Metrics() {
        new JvmMemoryMetrics().bindTo(mRegistry);
        new JvmThreadMetrics().bindTo(mRegistry);
        new ProcessorMetrics().bindTo(mRegistry);
        for (LogEvent event : LogEvent.values()) {
            FunctionCounter.builder(Metric.LOG_EVENTS.meter(), event, EventLog::count)
                    .tags("event", event.name())
                    .register(mRegistry);
        }
    }

    /** Returns the metrics of a daemon that has done nothing yet. */
    public static Metrics create() {
        return new Metrics();
    }

    /** Counts a request that was answered whole. */
    public void answered(
            WorkspaceId workspace,
            EngineId engine,
            Duration firstToken,
            long promptTokens,
            long cachedTokens,
            long generatedTokens) {
        Tags tags = Tags.of("workspace", mWorkspaces.of(workspace.value()));
        counter(Metric.REQUESTS, tags.and("outcome", ANSWERED)).increment();
        counter(Metric.ENGINE_REQUESTS, engineTags(engine, ANSWERED)).increment();
        counter(Metric.PROMPT_TOKENS, tags).increment(promptTokens);
        counter(Metric.CACHED_TOKENS, tags).increment(cachedTokens);
        counter(Metric.GENERATED_TOKENS, tags).increment(generatedTokens);
        Timer.builder(Metric.FIRST_TOKEN.meter())
                .tags(tags)
                .serviceLevelObjectives(FIRST_TOKEN_BUCKETS)
                .register(mRegistry)
                .record(firstToken);
    }

    /** Counts a request that was not answered whole. */
    public void failed(WorkspaceId workspace, Optional<EngineId> engine, ErrorCode code) {
        String outcome = code.isServerError() ? FAILED : REFUSED;
        Tags tags = Tags.of("workspace", mWorkspaces.of(workspace.value()));
        counter(Metric.REQUESTS, tags.and("outcome", outcome)).increment();
        counter(Metric.ERRORS, Tags.of("code", code.wireName())).increment();
        engine.ifPresent(e -> counter(Metric.ENGINE_REQUESTS, engineTags(e, outcome)).increment());
    }

    /** Has a metric without labels read its value whenever it is asked for. */
    public void gauge(Metric metric, DoubleSupplier value) {
        Gauge.builder(metric.meter(), value, DoubleSupplier::getAsDouble)
                .strongReference(true)
                .register(mRegistry);
    }

    /** Returns all metrics in Prometheus text. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private Tags engineTags(EngineId engine, String outcome) {
        return Tags.of("engine", mEngines.of(engine.value()), "outcome", outcome);
    }

    private Counter counter(Metric metric, Tags tags) {
        return mRegistry.counter(metric.meter(), tags);
    }
}
