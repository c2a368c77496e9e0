package org.catkinproxy.observe;

import java.util.List;

/**
 * Every metric of the product, with its unit, labels and meaning.
 *
 * <p>docs/METRICS.md is the catalogue for people on call. Immutable.
 */
public enum Metric {
    REQUESTS(
            "catkinproxy.requests",
            "catkinproxy_requests_total",
            "requests",
            List.of("workspace", "outcome"),
            "model requests by how they ended: answered, refused (the caller's fault) or failed"),
    FIRST_TOKEN(
            "catkinproxy.first.token",
            "catkinproxy_first_token_seconds",
            "seconds",
            List.of("workspace"),
            "time from the arrival of a request to its first token, as a histogram"),
    PROMPT_TOKENS(
            "catkinproxy.prompt.tokens",
            "catkinproxy_prompt_tokens_total",
            "tokens",
            List.of("workspace"),
            "prompt tokens of answered requests"),
    CACHED_TOKENS(
            "catkinproxy.cached.tokens",
            "catkinproxy_cached_tokens_total",
            "tokens",
            List.of("workspace"),
            "prompt tokens of answered requests that the engine had cached"),
    GENERATED_TOKENS(
            "catkinproxy.generated.tokens",
            "catkinproxy_generated_tokens_total",
            "tokens",
            List.of("workspace"),
            "tokens of answers"),
    ENGINE_REQUESTS(
            "catkinproxy.engine.requests",
            "catkinproxy_engine_requests_total",
            "requests",
            List.of("engine", "outcome"),
            "model requests by the engine that was asked last"),
    ERRORS(
            "catkinproxy.errors",
            "catkinproxy_errors_total",
            "errors",
            List.of("code"),
            "model requests that were not answered, by error code"),
    OPEN_REQUESTS(
            "catkinproxy.open.requests",
            "catkinproxy_open_requests",
            "requests",
            List.of(),
            "requests in progress at this instance"),
    REVISION(
            "catkinproxy.revision",
            "catkinproxy_revision",
            "revision",
            List.of(),
            "the revision in force at this instance, 0 for none"),
    READY(
            "catkinproxy.ready",
            "catkinproxy_ready",
            "boolean",
            List.of(),
            "1 while the instance takes new requests"),
    ENGINES(
            "catkinproxy.engines",
            "catkinproxy_engines",
            "engines",
            List.of(),
            "engines that get new work from this instance"),
    PEERS(
            "catkinproxy.peers",
            "catkinproxy_peers",
            "instances",
            List.of(),
            "other entry instances that this one knows"),
    LOG_EVENTS(
            "catkinproxy.log.events",
            "catkinproxy_log_events_total",
            "events",
            List.of("event"),
            "events of docs/EVENTS.md, by name, whether or not their level is logged");

    private final String mMeter;
    private final String mPrometheusName;
    private final String mUnit;
    private final List<String> mLabels;
    private final String mMeaning;

    Metric(String meter, String prometheusName, String unit, List<String> labels, String meaning) {
        mMeter = meter;
        mPrometheusName = prometheusName;
        mUnit = unit;
        mLabels = labels;
        mMeaning = meaning;
    }

    /** Returns the name of the Micrometer meter. */
    String meter() {
        return mMeter;
    }

    /** Returns the name in Prometheus text; a histogram adds its suffixes. */
    public String prometheusName() {
        return mPrometheusName;
    }

    /** Returns the unit. */
    public String unit() {
        return mUnit;
    }

    /** Returns the names of the labels. */
    public List<String> labels() {
        return mLabels;
    }

    /** Returns what is measured. */
    public String meaning() {
        return mMeaning;
    }
}
