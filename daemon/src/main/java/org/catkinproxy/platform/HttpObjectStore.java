package org.catkinproxy.platform;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import okhttp3.HttpUrl;
import okhttp3.Request;
import okhttp3.RequestBody;

/** The object store over HTTP. Safe for use by any thread. */
public final class HttpObjectStore implements ObjectStore {
    private final PlatformClient mClient;

    private HttpObjectStore(PlatformClient client) {
        mClient = client;
    }

    /** Returns the object store behind {@code client}. */
    public static HttpObjectStore create(PlatformClient client) {
        return new HttpObjectStore(client);
    }

    @Override
    public Completable put(String name, byte[] content) {
        Request request =
                new Request.Builder().url(url(name)).put(RequestBody.create(content, null)).build();
        return mClient.send(request)
                .flatMapCompletable(
                        answer ->
                                answer.isSuccess()
                                        ? Completable.complete()
                                        : Completable.error(mClient.unexpected(answer)));
    }

    @Override
    public Maybe<byte[]> get(String name) {
        return mClient.send(new Request.Builder().url(url(name)).build())
                .flatMapMaybe(
                        answer -> {
                            if (answer.isNotFound()) {
                                return Maybe.empty();
                            }
                            return answer.isSuccess()
                                    ? Maybe.just(answer.body())
                                    : Maybe.error(mClient.unexpected(answer));
                        });
    }

    private HttpUrl url(String name) {
        return mClient.url("objects").addPathSegments(name).build();
    }
}
