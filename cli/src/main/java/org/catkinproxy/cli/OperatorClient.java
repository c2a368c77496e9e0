package org.catkinproxy.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * Client of the operator interface that sends each request to the first reachable daemon of a list.
 *
 * <p>A change that may have reached a daemon is never repeated; a read is retried at the next
 * daemon after any I/O error. Errors of a daemon and I/O errors are thrown as {@link
 * CatkinException}, an unreadable response body as {@link CliException}. Not thread-safe.
 */
final class OperatorClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);
    private static final MediaType JSON = MediaType.get("application/json");
    private static final MediaType CSV = MediaType.get("text/csv; charset=utf-8");
    private static final String REVISION_HEADER = "Catkin-Revision";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private final List<String> mServers;
    private final String mOperatorKey;
    private final OkHttpClient mHttpClient;

    private OperatorClient(List<String> servers, String key, OkHttpClient http) {
        mServers = List.copyOf(servers);
        mOperatorKey = key;
        mHttpClient = http;
    }

    /**
     * Returns a client of the daemons at these base URLs, tried in order.
     *
     * @param base the client whose TLS settings are used
     */
    static OperatorClient create(List<String> servers, String key, OkHttpClient base) {
        OkHttpClient http =
                base.newBuilder()
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .readTimeout(CALL_TIMEOUT)
                        .callTimeout(CALL_TIMEOUT)
                        .build();
        return new OperatorClient(servers, key, http);
    }

    /** Returns a client of only the daemon at this base URL, with the same key. */
    OperatorClient withServer(String server) {
        return new OperatorClient(List.of(server), mOperatorKey, mHttpClient);
    }

    /** Returns the base URL of the first daemon. */
    String firstServer() {
        return mServers.get(0);
    }

    <T> T get(String path, Class<T> type) {
        return parseJson(send("GET", path, null).body(), MAPPER.constructType(type));
    }

    <T> List<T> getList(String path, Class<T> type) {
        JavaType list = MAPPER.getTypeFactory().constructCollectionType(List.class, type);
        return parseJson(send("GET", path, null).body(), list);
    }

    /** Returns an accepted sheet with its revision. */
    SheetText getSheet(String path) {
        OperatorResponse response = send("GET", path, null);
        return new SheetText(Long.parseLong(response.revision()), response.body());
    }

    <T> T postCsv(String path, String csv, Class<T> type) {
        return post(path, RequestBody.create(csv.getBytes(StandardCharsets.UTF_8), CSV), type);
    }

    <T> T postJson(String path, Object message, Class<T> type) {
        try {
            return post(path, RequestBody.create(MAPPER.writeValueAsBytes(message), JSON), type);
        } catch (JsonProcessingException e) {
            // Does not happen: a record of plain values is always writable as JSON.
            throw new IllegalStateException("record can not be written as JSON", e);
        }
    }

    private <T> T post(String path, RequestBody body, Class<T> type) {
        return parseJson(send("POST", path, body).body(), MAPPER.constructType(type));
    }

    private OperatorResponse send(String method, String path, RequestBody body) {
        CatkinException lastFailure = null;
        for (String server : mServers) {
            try {
                return sendTo(server, method, path, body);
            } catch (CatkinException e) {
                if (e.code() != ErrorCode.PEER_UNREACHABLE || e.outcome() != Outcome.NOT_RUN) {
                    throw e;
                }
                lastFailure = e;
            }
        }
        throw lastFailure;
    }

    private OperatorResponse sendTo(String server, String method, String path, RequestBody body) {
        Request request =
                new Request.Builder()
                        .url(server + path)
                        .header("Authorization", "Bearer " + mOperatorKey)
                        .method(method, body)
                        .build();
        try (Response response = mHttpClient.newCall(request).execute()) {
            String responseBody = response.body().string();
            if (!response.isSuccessful()) {
                throw toException(server, response.code(), responseBody);
            }
            return new OperatorResponse(responseBody, response.header(REVISION_HEADER, "0"));
        } catch (IOException e) {
            boolean nothingChanged = body == null || e instanceof ConnectException;
            throw CatkinException.of(
                    ErrorCode.PEER_UNREACHABLE,
                    Step.SEND,
                    server,
                    nothingChanged ? Outcome.NOT_RUN : Outcome.UNKNOWN,
                    server + " did not respond: " + e.getMessage(),
                    e);
        }
    }

    private static CatkinException toException(String server, int status, String body) {
        JsonNode error;
        try {
            error = MAPPER.readTree(body).path("error");
        } catch (JsonProcessingException e) {
            error = MAPPER.missingNode();
        }
        ErrorCode code = parseErrorCode(error.path("code").asText());
        String message = error.path("message").asText("HTTP status " + status);
        return CatkinException.of(code, Step.SEND, server, parseOutcome(error), message, null);
    }

    private static ErrorCode parseErrorCode(String wireName) {
        for (ErrorCode code : ErrorCode.values()) {
            if (code.wireName().equals(wireName.toLowerCase(Locale.ROOT))) {
                return code;
            }
        }
        return ErrorCode.INTERNAL;
    }

    private static Outcome parseOutcome(JsonNode error) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.wireName().equals(error.path("outcome").asText())) {
                return outcome;
            }
        }
        return Outcome.UNKNOWN;
    }

    private static <T> T parseJson(String body, JavaType type) {
        try {
            return MAPPER.readValue(body, type);
        } catch (JsonProcessingException e) {
            throw new CliException(
                    ExitCode.FAILED, "the daemon's response can not be read: " + e.getMessage());
        }
    }

    /** An accepted sheet as CSV, and its revision. */
    record SheetText(long revision, String csv) {}

    /** The body of a successful response, and its revision header, {@code 0} if there is none. */
    private record OperatorResponse(String body, String revision) {}
}
