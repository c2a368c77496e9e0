package org.catkinproxy.gateway;

import org.catkinproxy.serving.SendFailure;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one attempt.
 *
 * <p>Called by the event loop only. {@link #onEnd} or {@link #onFailure} is the last call.
 */
interface ResponseListener {
    /** Called with the head of the response. */
    void onHead(HttpResponse response, ResponseHead head);

    /** Called with a part of the body, which the listener releases. */
    void onContent(ByteBuf content);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the response will not be completed. */
    void onFailure(SendFailure failure, String reason);
}
