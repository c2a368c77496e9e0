package org.catkinproxy.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** HTTP calls with JSON bodies that are never repeated. Safe for use by any thread. */
public final class Web {
    /** Reads and writes all bodies. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private static final MediaType JSON_TYPE = MediaType.get("application/json");
    private static final OkHttpClient BASE =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .followRedirects(false)
                    .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();

    private Web() {}

    /** Returns a client that waits at most {@code idle} for the next byte. */
    public static OkHttpClient client(Duration idle) {
        return BASE.newBuilder().readTimeout(idle).build();
    }

    /** Returns a client that waits at most {@code whole} for a whole answer. */
    public static OkHttpClient bounded(Duration whole) {
        return BASE.newBuilder().readTimeout(whole).callTimeout(whole).build();
    }

    /** Returns a JSON body. */
    public static RequestBody json(JsonNode body) {
        return json(body.toString());
    }

    /** Returns a JSON body that is given as text. */
    public static RequestBody json(String body) {
        return RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON_TYPE);
    }

    /** Sends a request and reads the whole answer. */
    public static Answer send(OkHttpClient client, Request request) throws IOException {
        try (Response response = client.newCall(request).execute()) {
            return new Answer(response.code(), response.body().string());
        }
    }

    /**
     * A whole answer.
     *
     * <p>Immutable, and so safe for use by any thread.
     *
     * @param status the HTTP status
     * @param body the body as text
     */
    public record Answer(int status, String body) {
        /** Tells whether the status is a success. */
        public boolean isSuccess() {
            return status / 100 == 2;
        }

        /** Returns the body read as JSON, an empty object if it is none. */
        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                return JSON.createObjectNode();
            }
        }

        /** Returns the {@code outcome} of an error body, empty if there is none. */
        public String outcome() {
            return json().path("error").path("outcome").asText();
        }

        /** Returns the {@code code} of an error body, empty if there is none. */
        public String code() {
            return json().path("error").path("code").asText();
        }
    }
}
