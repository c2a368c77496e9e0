package org.catkinproxy.standin.engine;

import org.catkinproxy.standin.WeightsName;

import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What an engine asks of the platform, each time on a connection of its own.
 *
 * <p>Safe for use by any thread.
 */
final class PlatformClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private final OkHttpClient mHttp =
            new OkHttpClient.Builder()
                    .callTimeout(TIMEOUT)
                    .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
                    .build();
    private final String mUrl;

    PlatformClient(String url) {
        mUrl = url;
    }

    /** Tells whether there is a platform at all. */
    boolean isPresent() {
        return !mUrl.isEmpty();
    }

    /** Downloads weights and tells whether the store gave them. */
    boolean loadWeights(WeightsName weights) throws IOException {
        Request request = new Request.Builder().url(mUrl + "/weights/" + weights).build();
        try (Response response = mHttp.newCall(request).execute()) {
            response.body().bytes();
            return response.isSuccessful();
        }
    }

    boolean putKv(String block, byte[] content) throws IOException {
        Request request =
                new Request.Builder()
                        .url(mUrl + "/kv/" + block)
                        .put(RequestBody.create(content))
                        .build();
        try (Response response = mHttp.newCall(request).execute()) {
            return response.isSuccessful();
        }
    }

    Optional<byte[]> getKv(String block) throws IOException {
        Request request = new Request.Builder().url(mUrl + "/kv/" + block).build();
        try (Response response = mHttp.newCall(request).execute()) {
            return response.isSuccessful()
                    ? Optional.of(response.body().bytes())
                    : Optional.empty();
        }
    }
}
