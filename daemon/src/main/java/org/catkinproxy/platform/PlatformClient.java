package org.catkinproxy.platform;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.http.LimitedSocketFactory;
import org.catkinproxy.http.StrictResponseInterceptor;

import io.reactivex.rxjava3.core.Single;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * The HTTP client that the platform's adapters share.
 *
 * <p>It never sends a request twice by itself: re-sends and redirects are switched off, so that
 * whoever decides to repeat a write knows that the first may have taken effect. Whenever a call
 * times out, idle connections are dropped too, because what silenced one may have silenced all.
 *
 * <p>Safe for use by any thread.
 */
public final class PlatformClient {
    private static final int MAX_REQUESTS = 256;
    private static final int MAX_IDLE_CONNECTIONS = 8;
    private static final int KEEP_ALIVE_SECONDS = 30;
    private static final int CONFLICT = 409;

    /** Limit for a response, with its head; a sheet has at most half of it. */
    private static final long MAX_RESPONSE_BYTES = 64L * 1024 * 1024;

    private static final MediaType JSON = MediaType.get("application/json");

    private final OkHttpClient mClient;
    private final HttpUrl mBase;
    private final ObjectMapper mMapper = new ObjectMapper();

    private PlatformClient(OkHttpClient client, HttpUrl base) {
        mClient = client;
        mBase = base;
    }

    /**
     * Returns a client of the platform at {@code base}.
     *
     * @param base for example {@code http://10.0.0.9:7000}
     * @param timeout how long one call may take in all
     */
    public static PlatformClient create(String base, Duration timeout) {
        HttpUrl url = checkNotNull(HttpUrl.parse(base), "not an HTTP address: %s", base);
        Dispatcher dispatcher = new Dispatcher();
        dispatcher.setMaxRequests(MAX_REQUESTS);
        dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
        OkHttpClient client =
                new OkHttpClient.Builder()
                        .dispatcher(dispatcher)
                        .connectionPool(
                                new ConnectionPool(
                                        MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
                        .socketFactory(LimitedSocketFactory.of(MAX_RESPONSE_BYTES))
                        .addNetworkInterceptor(StrictResponseInterceptor.create())
                        .callTimeout(timeout)
                        .retryOnConnectionFailure(false)
                        .followRedirects(false)
                        .followSslRedirects(false)
                        .build();
        return new PlatformClient(client, url);
    }

    HttpUrl.Builder url(String... segments) {
        HttpUrl.Builder url = mBase.newBuilder();
        for (String s : segments) {
            url.addPathSegment(s);
        }
        return url;
    }

    ObjectMapper mapper() {
        return mMapper;
    }

    MediaType json() {
        return JSON;
    }

    /** Sends a request once; the answer's status may be any. */
    Single<PlatformAnswer> send(Request request) {
        return Single.create(
                emitter -> {
                    Call call = mClient.newCall(request);
                    emitter.setCancellable(call::cancel);
                    call.enqueue(
                            new Callback() {
                                @Override
                                public void onFailure(Call failed, IOException e) {
                                    mClient.connectionPool().evictAll();
                                    emitter.tryOnError(unavailable(request, e));
                                }

                                @Override
                                public void onResponse(Call done, Response response) {
                                    try (response) {
                                        byte[] body = response.body().bytes();
                                        emitter.onSuccess(
                                                new PlatformAnswer(response.code(), body));
                                    } catch (IOException e) {
                                        mClient.connectionPool().evictAll();
                                        emitter.tryOnError(unavailable(request, e));
                                    }
                                }
                            });
                });
    }

    JsonNode read(PlatformAnswer answer) {
        try {
            return mMapper.readTree(answer.body());
        } catch (IOException e) {
            throw failure(Outcome.UNKNOWN, "the answer is not JSON", e);
        }
    }

    byte[] write(JsonNode body) {
        try {
            return mMapper.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw failure(Outcome.NOT_RUN, "the request can not be written", e);
        }
    }

    /** Returns the error of an answer that is none of those expected. */
    CatkinException unexpected(PlatformAnswer answer) {
        // A refusal by status may come from before or after the write; only the reader can tell.
        Outcome outcome = answer.status() == CONFLICT ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        return failure(outcome, "the platform answered " + answer.status(), null);
    }

    private CatkinException unavailable(Request request, IOException cause) {
        Outcome outcome = cause instanceof ConnectException ? Outcome.NOT_RUN : Outcome.UNKNOWN;
        String what = request.method() + " " + request.url().encodedPath();
        return failure(outcome, what + " failed: " + cause, cause);
    }

    private CatkinException failure(Outcome outcome, String message, Throwable cause) {
        return CatkinException.of(
                ErrorCode.STORE_UNAVAILABLE,
                Step.STORE,
                mBase.host() + ":" + mBase.port(),
                outcome,
                message,
                cause);
    }
}
