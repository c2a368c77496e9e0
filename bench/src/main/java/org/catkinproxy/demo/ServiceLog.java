package org.catkinproxy.demo;

import com.fasterxml.jackson.databind.JsonNode;

import okhttp3.Request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** What a plain service has executed. Stateless, so safe for use by any thread. */
public final class ServiceLog {
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private ServiceLog() {}

    /** Returns the idempotency key of every execution, in order. */
    public static List<String> read(Member service) {
        Request request = new Request.Builder().url(service.url() + "/admin/log").build();
        try {
            List<String> keys = new ArrayList<>();
            JsonNode log = Web.send(Web.bounded(LIMIT), request).json();
            log.path("executions").forEach(e -> keys.add(e.path("key").asText()));
            return keys;
        } catch (IOException e) {
            throw new UncheckedIOException(service.id(), e);
        }
    }
}
