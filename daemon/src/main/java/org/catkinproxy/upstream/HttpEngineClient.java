package org.catkinproxy.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.http.LimitedSocketFactory;
import org.catkinproxy.http.StrictResponseInterceptor;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.stream.ConnectionFailure;
import org.catkinproxy.stream.StreamEvent;

import io.reactivex.rxjava3.core.BackpressureStrategy;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.FlowableEmitter;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;

import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Engines over HTTP.
 *
 * <p>Every generation has a connection of its own, never one that lay idle: an idle one may have
 * gone silent, and finding that out would cost more than making a new one. Nothing is sent twice by
 * the client itself. Safe for use by any thread.
 */
public final class HttpEngineClient implements EngineClient {
    /** Lines over this are no event of an engine. */
    private static final long MAX_LINE_BYTES = 4L * 1_024 * 1_024;

    /** Limit for a report of an engine or a list of what it has cached, with its head. */
    private static final long MAX_CONTROL_BYTES = 16L * 1_024 * 1_024;

    /** Limit for one stream of events, which may be followed by another. */
    private static final long MAX_STREAM_BYTES = 32L * 1_024 * 1_024;

    private static final int NOT_FOUND = 404;
    private static final int CACHE_EVENT_SILENCE_MILLIS = 4_000;
    private static final MediaType JSON = MediaType.get("application/json");
    private static final RequestBody EMPTY = RequestBody.create(new byte[0], null);

    private final OkHttpClient mStreams;
    private final OkHttpClient mControl;
    private final OkHttpClient mEvents;

    private HttpEngineClient(EngineTimeouts timeouts) {
        OkHttpClient base =
                new OkHttpClient.Builder()
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .followSslRedirects(false)
                        .connectTimeout(timeouts.connectMillis(), TimeUnit.MILLISECONDS)
                        .connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
                        .socketFactory(LimitedSocketFactory.of(MAX_STREAM_BYTES))
                        .addNetworkInterceptor(StrictResponseInterceptor.create())
                        .build();
        mStreams =
                base.newBuilder()
                        .readTimeout(timeouts.silenceMillis(), TimeUnit.MILLISECONDS)
                        .build();
        mControl =
                base.newBuilder()
                        .callTimeout(timeouts.controlMillis(), TimeUnit.MILLISECONDS)
                        .connectionPool(new ConnectionPool())
                        .socketFactory(LimitedSocketFactory.of(MAX_CONTROL_BYTES))
                        .build();
        mEvents =
                base.newBuilder()
                        .readTimeout(CACHE_EVENT_SILENCE_MILLIS, TimeUnit.MILLISECONDS)
                        .build();
    }

    /** Returns a client with these time-outs. */
    public static HttpEngineClient create(EngineTimeouts timeouts) {
        return new HttpEngineClient(timeouts);
    }

    @Override
    public Flowable<StreamEvent> generate(
            EngineEndpoint endpoint, GenerateRequest request, int attempt, List<String> delivered) {
        RequestBody body = RequestBody.create(EngineJson.write(request, delivered), JSON);
        return stream(attempt, post(url(endpoint, "v1", "generate").build(), body));
    }

    @Override
    public Flowable<StreamEvent> resume(
            EngineEndpoint endpoint, RequestId request, int attempt, long after) {
        HttpUrl url =
                url(endpoint, "v1", "generate", request.value(), "resume")
                        .addQueryParameter("after", Long.toString(after))
                        .build();
        return stream(attempt, post(url, EMPTY));
    }

    @Override
    public Completable cancel(EngineEndpoint endpoint, RequestId request) {
        HttpUrl url = url(endpoint, "v1", "generate", request.value()).build();
        Request delete = new Request.Builder().url(url).delete().build();
        return Completable.create(
                        emitter -> {
                            try {
                                mControl.newCall(delete).execute().close();
                                emitter.onComplete();
                            } catch (IOException e) {
                                emitter.tryOnError(unreachable(endpoint, e));
                            }
                        })
                .subscribeOn(Schedulers.io());
    }

    @Override
    public Single<EngineReport> load(EngineEndpoint endpoint) {
        return get(endpoint, "v1", "load").map(node -> EngineJson.report(endpoint, node));
    }

    @Override
    public Single<RouteEvent.CacheSnapshot> cache(EngineEndpoint endpoint) {
        return get(endpoint, "v1", "cache").map(node -> EngineJson.snapshot(endpoint, node));
    }

    @Override
    public Flowable<RouteEvent.CacheChanged> cacheEvents(EngineEndpoint endpoint, long after) {
        HttpUrl url =
                url(endpoint, "v1", "cache-events")
                        .addQueryParameter("after", Long.toString(after))
                        .build();
        Call call = mEvents.newCall(new Request.Builder().url(url).build());
        return Flowable.<RouteEvent.CacheChanged>create(
                        emitter -> readCacheEvents(emitter, endpoint, call),
                        BackpressureStrategy.BUFFER)
                .subscribeOn(Schedulers.io());
    }

    private Flowable<StreamEvent> stream(int attempt, Request request) {
        return Flowable.<StreamEvent>create(
                        emitter -> readStream(emitter, attempt, mStreams.newCall(request)),
                        BackpressureStrategy.BUFFER)
                .subscribeOn(Schedulers.io());
    }

    private static void readStream(FlowableEmitter<StreamEvent> emitter, int attempt, Call call) {
        emitter.setCancellable(call::cancel);
        try (Response response = call.execute()) {
            if (!response.isSuccessful()) {
                fail(emitter, attempt, refusal(response.code()));
                return;
            }
            readEvents(emitter, attempt, response.body().source());
        } catch (IOException e) {
            fail(emitter, attempt, failureOf(e));
        } catch (IllegalArgumentException e) {
            fail(emitter, attempt, ConnectionFailure.INVALID);
        }
    }

    private static void readEvents(
            FlowableEmitter<StreamEvent> emitter, int attempt, BufferedSource source)
            throws IOException {
        while (!emitter.isCancelled()) {
            if (source.exhausted()) {
                fail(emitter, attempt, ConnectionFailure.BROKEN);
                return;
            }
            StreamEvent event =
                    EngineJson.streamEvent(attempt, source.readUtf8LineStrict(MAX_LINE_BYTES));
            emitter.onNext(event);
            if (event instanceof StreamEvent.Ended
                    || event instanceof StreamEvent.ConnectionFailed) {
                emitter.onComplete();
                return;
            }
        }
    }

    private static void readCacheEvents(
            FlowableEmitter<RouteEvent.CacheChanged> emitter, EngineEndpoint endpoint, Call call) {
        emitter.setCancellable(call::cancel);
        try (Response response = call.execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("status " + response.code());
            }
            BufferedSource source = response.body().source();
            while (!emitter.isCancelled()) {
                String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
                JsonNode node = EngineJson.parse(line.getBytes(UTF_8));
                if (!node.path("heartbeat").asBoolean()) {
                    emitter.onNext(EngineJson.cacheChanged(endpoint, node));
                }
            }
        } catch (IOException | IllegalArgumentException e) {
            emitter.tryOnError(unreachable(endpoint, e));
        }
    }

    private Single<JsonNode> get(EngineEndpoint endpoint, String... segments) {
        Request request = new Request.Builder().url(url(endpoint, segments).build()).build();
        return Single.<JsonNode>create(
                        emitter -> {
                            try {
                                emitter.onSuccess(execute(endpoint, request));
                            } catch (CatkinException e) {
                                // Nobody listens any more once the engine is not watched.
                                emitter.tryOnError(e);
                            }
                        })
                .subscribeOn(Schedulers.io());
    }

    private JsonNode execute(EngineEndpoint endpoint, Request request) {
        try (Response response = mControl.newCall(request).execute()) {
            if (!response.isSuccessful()) {
                throw new IOException("status " + response.code());
            }
            return EngineJson.parse(response.body().bytes());
        } catch (IOException | IllegalArgumentException e) {
            // What silenced one idle connection may have silenced all of them.
            mControl.connectionPool().evictAll();
            throw unreachable(endpoint, e);
        }
    }

    private static void fail(
            FlowableEmitter<StreamEvent> emitter, int attempt, ConnectionFailure failure) {
        emitter.onNext(new StreamEvent.ConnectionFailed(attempt, failure));
        emitter.onComplete();
    }

    private static ConnectionFailure refusal(int status) {
        return status == NOT_FOUND ? ConnectionFailure.NOT_FOUND : ConnectionFailure.REJECTED;
    }

    private static ConnectionFailure failureOf(IOException e) {
        if (e instanceof ConnectException) {
            return ConnectionFailure.NOT_CONNECTED;
        }
        if (e instanceof SocketTimeoutException) {
            return ConnectionFailure.SILENT;
        }
        return ConnectionFailure.BROKEN;
    }

    private static CatkinException unreachable(EngineEndpoint endpoint, Exception cause) {
        return CatkinException.of(
                ErrorCode.ENGINE_UNREACHABLE,
                Step.ROUTE,
                endpoint.engine().value(),
                Outcome.UNKNOWN,
                String.valueOf(cause.getMessage()),
                cause);
    }

    private static HttpUrl.Builder url(EngineEndpoint endpoint, String... segments) {
        HttpUrl base = HttpUrl.get("http://" + endpoint.address() + "/");
        HttpUrl.Builder url = base.newBuilder();
        for (String s : segments) {
            url.addPathSegment(s);
        }
        return url;
    }

    private static Request post(HttpUrl url, RequestBody body) {
        return new Request.Builder().url(url).post(body).build();
    }
}
