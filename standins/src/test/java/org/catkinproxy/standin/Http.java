package org.catkinproxy.standin;

import com.fasterxml.jackson.databind.JsonNode;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client without retries for the tests of stand-ins. */
final class Http {
    private static final OkHttpClient CLIENT =
            new OkHttpClient.Builder().retryOnConnectionFailure(false).build();

    private Http() {}

    record Answer(int status, String body, String key) {
        JsonNode json() throws IOException {
            return Call.JSON.readTree(body);
        }

        /** Returns the events that are not heartbeats. */
        List<JsonNode> events() throws IOException {
            List<JsonNode> events = new ArrayList<>();
            for (String line : body.split("\n")) {
                JsonNode event = Call.JSON.readTree(line);
                if (!event.path("type").asText().equals("heartbeat")) {
                    events.add(event);
                }
            }
            return events;
        }
    }

    static Answer get(String url) throws IOException {
        return send(new Request.Builder().url(url));
    }

    static Answer post(String url, String body, String key) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return send(
                new Request.Builder()
                        .url(url)
                        .header("Idempotency-Key", key)
                        .post(RequestBody.create(bytes)));
    }

    static Answer post(String url, String body) throws IOException {
        return post(url, body, "none");
    }

    static Answer put(String url, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return send(new Request.Builder().url(url).put(RequestBody.create(bytes)));
    }

    /** Posts, and tells whether an answer came before the connection was closed. */
    static boolean isAnswered(String url, String body, String key) {
        try {
            post(url, body, key);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static Answer send(Request.Builder request) throws IOException {
        try (Response response = CLIENT.newCall(request.build()).execute()) {
            String key = response.header("Idempotency-Key", "");
            return new Answer(response.code(), response.body().string(), key);
        }
    }
}
