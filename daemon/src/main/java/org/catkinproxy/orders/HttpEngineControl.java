package org.catkinproxy.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.http.LimitedSocketFactory;
import org.catkinproxy.http.StrictResponseInterceptor;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.Weights;
import org.catkinproxy.order.EngineOrder;
import org.catkinproxy.order.EngineWeightsStatus;

import io.reactivex.rxjava3.core.Single;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Talks to engines over HTTP, each call on a connection of its own.
 *
 * <p>Connections are not kept, because one that something between the two ends has lost track of
 * would keep a good engine without orders. Safe for use by any thread.
 */
public final class HttpEngineControl implements EngineControl {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final MediaType JSON = MediaType.get("application/json");
    private static final int CONFLICT = 409;

    /** Limit for a response, with its head. */
    private static final long MAX_RESPONSE_BYTES = 1024 * 1024;

    private final OkHttpClient mClient;

    private HttpEngineControl(OkHttpClient client) {
        mClient = client;
    }

    /** Returns a client whose calls take {@code timeout} at most. */
    public static HttpEngineControl create(Duration timeout) {
        return new HttpEngineControl(
                new OkHttpClient.Builder()
                        .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                        .socketFactory(LimitedSocketFactory.of(MAX_RESPONSE_BYTES))
                        .addNetworkInterceptor(StrictResponseInterceptor.create())
                        .proxy(Proxy.NO_PROXY)
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .callTimeout(timeout)
                        .build());
    }

    @Override
    public Single<EngineWeightsStatus> state(OrderTarget target) {
        return send(target, request(target, "/v1/state").build());
    }

    @Override
    public Single<EngineWeightsStatus> order(
            OrderTarget target, EngineOrder order, FencingNumber fencing, Revision revision) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("order", order.kind().wireName());
        body.putObject("weights")
                .put("model", order.weights().model().value())
                .put("adapter", order.weights().adapter().value())
                .put("version", order.weights().version().value());
        body.put("fencing", fencing.value());
        body.put("revision", revision.value());
        Request request =
                request(target, "/v1/orders")
                        .post(RequestBody.create(body.toString(), JSON))
                        .build();
        return send(target, request);
    }

    private static Request.Builder request(OrderTarget target, String path) {
        return new Request.Builder()
                .url("http://" + target.address() + path)
                .header("Connection", "close");
    }

    private Single<EngineWeightsStatus> send(OrderTarget target, Request request) {
        return Single.create(
                emitter ->
                        mClient.newCall(request)
                                .enqueue(
                                        new Callback() {
                                            @Override
                                            public void onFailure(Call call, IOException e) {
                                                emitter.tryOnError(unreachable(target, e));
                                            }

                                            @Override
                                            public void onResponse(Call call, Response response) {
                                                try (response) {
                                                    emitter.onSuccess(read(target, response));
                                                } catch (IOException | RuntimeException e) {
                                                    emitter.tryOnError(failure(target, e));
                                                }
                                            }
                                        }));
    }

    private static EngineWeightsStatus read(OrderTarget target, Response response)
            throws IOException {
        if (response.code() == CONFLICT) {
            throw CatkinException.notRun(
                    ErrorCode.STALE_ORDER,
                    Step.ORDER,
                    target.engine().value(),
                    "the engine has seen a higher fencing number");
        }
        if (!response.isSuccessful()) {
            throw new IOException("the engine answered " + response.code());
        }
        JsonNode json = MAPPER.readTree(response.body().bytes());
        Set<Weights> loaded = new HashSet<>();
        Set<Weights> loading = new HashSet<>();
        for (JsonNode w : json.path("weights")) {
            boolean isLoaded = w.path("state").asText().equals("loaded");
            (isLoaded ? loaded : loading).add(weights(w));
        }
        return new EngineWeightsStatus(
                target.engine(),
                FencingNumber.of(json.path("fencing").asLong()),
                loaded,
                loading,
                json.path("running").asInt());
    }

    private static Weights weights(JsonNode json) {
        return Weights.of(
                json.path("model").asText(),
                json.path("adapter").asText(),
                json.path("version").asText());
    }

    private static CatkinException failure(OrderTarget target, Exception e) {
        return e instanceof CatkinException known ? known : unreachable(target, e);
    }

    private static CatkinException unreachable(OrderTarget target, Exception cause) {
        return CatkinException.of(
                ErrorCode.ENGINE_UNREACHABLE,
                Step.ORDER,
                target.engine().value(),
                Outcome.UNKNOWN,
                String.valueOf(cause),
                cause);
    }
}
