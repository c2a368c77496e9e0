package org.catkinproxy.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.call.CallResponse;
import org.catkinproxy.http.LimitedSocketFactory;
import org.catkinproxy.http.StrictResponseInterceptor;
import org.catkinproxy.id.IdempotencyKey;

import io.reactivex.rxjava3.core.Single;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okio.Buffer;

import java.io.IOException;
import java.net.Proxy;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Sends requests to plain services over HTTP/1.1, each on its own connection.
 *
 * <p>Every feature by which OkHttp may send a request again is disabled: retries of failed
 * connections, redirects, pooled connections, HTTP/2, and the follow-ups to statuses 408, 421 and
 * 503, which the one-shot body and the removal of {@code Retry-After} prevent. Safe for use by any
 * thread.
 */
public final class OkHttpServiceClient implements ServiceClient {
    /** The header that identifies a call, in requests and responses. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** The header that holds the attempt id. */
    public static final String ATTEMPT_HEADER = "Catkin-Attempt";

    /** The largest response body, in bytes, that is read; a larger response counts as lost. */
    public static final long MAX_RESPONSE_BYTES = 8L << 20;

    /** The largest response, with its head and the framing of its body. */
    private static final long MAX_WIRE_BYTES = 2 * MAX_RESPONSE_BYTES;

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_REQUESTS = 512;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OkHttpClient mClient;

    private OkHttpServiceClient(OkHttpClient client) {
        mClient = client;
    }

    /** Creates a client with its own threads. */
    public static OkHttpServiceClient create() {
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
        OkHttpClient client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                        .protocols(List.of(Protocol.HTTP_1_1))
                        .socketFactory(LimitedSocketFactory.of(MAX_WIRE_BYTES))
                        .addNetworkInterceptor(StrictResponseInterceptor.create())
                        .proxy(Proxy.NO_PROXY)
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .followSslRedirects(false)
                        .connectTimeout(CONNECT_TIMEOUT)
                        .readTimeout(Duration.ZERO)
                        .writeTimeout(Duration.ZERO)
                        .addNetworkInterceptor(OkHttpServiceClient::removeRetryAfter)
                        .eventListenerFactory(ConnectionTracker::of)
                        .build();
        return new OkHttpServiceClient(client);
    }

    @Override
    public Single<SendResult> send(ServiceRequest request) {
        return Single.create(
                emitter -> {
                    ConnectionTracker tracker = new ConnectionTracker();
                    Request httpRequest;
                    try {
                        httpRequest = toHttp(request, tracker);
                    } catch (IllegalArgumentException e) {
                        emitter.onSuccess(new SendResult.NotConnected(String.valueOf(e)));
                        return;
                    }
                    enqueue(
                            httpRequest,
                            request.timeout(),
                            response -> emitter.onSuccess(readResponse(request, response)),
                            failure -> emitter.onSuccess(tracker.toSendResult(failure)));
                });
    }

    @Override
    public Single<CallStatus> queryStatus(String address, IdempotencyKey key, Duration timeout) {
        return Single.create(
                emitter -> {
                    Request httpRequest;
                    try {
                        HttpUrl url = url(address, "/").resolve("/calls/" + key);
                        httpRequest =
                                new Request.Builder()
                                        .url(url)
                                        .header(IDEMPOTENCY_KEY_HEADER, "" + key)
                                        .build();
                    } catch (IllegalArgumentException e) {
                        emitter.onSuccess(CallStatus.UNKNOWN);
                        return;
                    }
                    enqueue(
                            httpRequest,
                            timeout,
                            response -> emitter.onSuccess(readStatus(key, response)),
                            failure -> emitter.onSuccess(CallStatus.UNKNOWN));
                });
    }

    private void enqueue(
            Request httpRequest,
            Duration timeout,
            Consumer<Response> onResponse,
            Consumer<IOException> onFailure) {
        Call call = mClient.newCall(httpRequest);
        call.timeout().timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failedCall, IOException e) {
                        onFailure.accept(e);
                    }

                    @Override
                    public void onResponse(Call answeredCall, Response response) {
                        try (response) {
                            onResponse.accept(response);
                        }
                    }
                });
    }

    private static Request toHttp(ServiceRequest request, ConnectionTracker tracker) {
        return new Request.Builder()
                .url(url(request.address(), request.path()))
                .method(request.method(), OneShotBody.of(request))
                .header(IDEMPOTENCY_KEY_HEADER, request.idempotencyKey().value())
                .header(ATTEMPT_HEADER, request.attemptId().value())
                .header("Connection", "close")
                .tag(ConnectionTracker.class, tracker)
                .build();
    }

    private static HttpUrl url(String address, String path) {
        return HttpUrl.get("http://" + address + path);
    }

    private static SendResult readResponse(ServiceRequest request, Response response) {
        String responseKey = response.header(IDEMPOTENCY_KEY_HEADER);
        if (!request.idempotencyKey().value().equals(responseKey)) {
            return new SendResult.ResponseLost(
                    "the response does not have the request's idempotency key but " + responseKey);
        }
        try {
            String contentType = response.header("Content-Type", "");
            byte[] body = readBody(response);
            return new SendResult.Responded(new CallResponse(response.code(), contentType, body));
        } catch (IOException | IllegalArgumentException e) {
            return new SendResult.ResponseLost(String.valueOf(e));
        }
    }

    private static CallStatus readStatus(IdempotencyKey key, Response response) {
        if (response.code() != 200) {
            return CallStatus.UNKNOWN;
        }
        try {
            JsonNode json = MAPPER.readTree(readBody(response));
            boolean keyMatches = key.value().equals(json.path("key").asText());
            boolean done = json.path("status").asText().equals("done");
            return keyMatches && done ? parseDoneStatus(json.path("answer")) : CallStatus.UNKNOWN;
        } catch (IOException | IllegalArgumentException e) {
            return CallStatus.UNKNOWN;
        }
    }

    private static CallStatus parseDoneStatus(JsonNode response) {
        JsonNode body = response.path("body");
        String bodyText = body.isContainerNode() ? body.toString() : body.asText();
        return CallStatus.done(
                new CallResponse(
                        response.path("status").asInt(),
                        response.path("contentType").asText(),
                        bodyText.getBytes(StandardCharsets.UTF_8)));
    }

    private static byte[] readBody(Response response) throws IOException {
        Buffer buffer = new Buffer();
        while (response.body().source().read(buffer, 64 << 10) >= 0) {
            if (buffer.size() > MAX_RESPONSE_BYTES) {
                throw new IOException(
                        "the response body is larger than " + MAX_RESPONSE_BYTES + " bytes");
            }
        }
        return buffer.readByteArray();
    }

    /**
     * Removes {@code Retry-After}, because OkHttp sends a request again after status 503 with
     * {@code Retry-After: 0}. The header has no other reader.
     */
    private static Response removeRetryAfter(Interceptor.Chain chain) throws IOException {
        Response response = chain.proceed(chain.request());
        return response.newBuilder().removeHeader("Retry-After").build();
    }

    /**
     * Records whether a connection was established for one call. Used only by the call's thread.
     */
    private static final class ConnectionTracker extends EventListener {
        private volatile boolean mConnected;

        static EventListener of(Call call) {
            return Optional.<EventListener>ofNullable(call.request().tag(ConnectionTracker.class))
                    .orElse(EventListener.NONE);
        }

        @Override
        public void connectEnd(
                Call call, java.net.InetSocketAddress peer, Proxy proxy, Protocol protocol) {
            mConnected = true;
        }

        @Override
        public void connectionAcquired(Call call, Connection connection) {
            mConnected = true;
        }

        SendResult toSendResult(IOException failure) {
            String reason = String.valueOf(failure);
            return mConnected
                    ? new SendResult.ResponseLost(reason)
                    : new SendResult.NotConnected(reason);
        }
    }
}
