package org.catkinproxy.service;

import okhttp3.MediaType;
import okhttp3.RequestBody;
import okio.BufferedSink;

import java.io.IOException;
import java.util.Set;

/**
 * A request body that OkHttp does not send a second time.
 *
 * <p>Immutable, provided that the bytes are not modified; safe for use by any thread.
 */
final class OneShotBody extends RequestBody {
    private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

    private final MediaType mContentType;
    private final byte[] mBytes;

    private OneShotBody(MediaType contentType, byte[] bytes) {
        mContentType = contentType;
        mBytes = bytes;
    }

    /** Returns the request's body, or null if its method does not allow a body. */
    static RequestBody of(ServiceRequest request) {
        if (METHODS_WITHOUT_BODY.contains(request.method())) {
            return null;
        }
        return new OneShotBody(MediaType.parse(request.contentType()), request.body());
    }

    @Override
    public MediaType contentType() {
        return mContentType;
    }

    @Override
    public long contentLength() {
        return mBytes.length;
    }

    @Override
    public boolean isOneShot() {
        return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
        sink.write(mBytes);
    }
}
