package org.catkinproxy.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes the responses of one caller's connection, which carries one request at a time.
 *
 * <p>A response to a HEAD request ends with its head, whatever body it is given: a body would stand
 * where the response to the next request is due. Used by the event loop only.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private boolean mIsHeadRequest;

    /** Starts to encode the response to a request of the given method. */
    void onRequest(HttpMethod method) {
        mIsHeadRequest = method.equals(HttpMethod.HEAD);
    }

    /** Returns whether the current request is a HEAD request. */
    boolean isHeadRequest() {
        return mIsHeadRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return mIsHeadRequest || super.isContentAlwaysEmpty(response);
    }
}
