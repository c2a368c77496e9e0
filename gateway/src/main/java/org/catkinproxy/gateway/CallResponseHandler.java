package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * Collects the response to the call that uses the connection.
 *
 * <p>A response counts only when it is complete: as long as its framing says, or, without one, up
 * to the end of a connection to which the whole request was written. Used by the event loop only.
 */
final class CallResponseHandler extends ChannelInboundHandlerAdapter {
    /** Limit for a response; a page of rows has at most 1 MiB, apart from its encoding. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** Limit for the interim responses before a response. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    /** The call to which the response belongs. */
    interface Listener {
        /** Returns whether the call has ended, so that its response is discarded. */
        boolean isDone();

        /** Called with the size of the body's buffer whenever the body has grown. */
        void onBuffered(int bytes);

        /** Called with the complete response, and whether the connection can be used again. */
        void onResponse(PooledHttpClient.Response response, boolean reuse);

        /** Called once no complete response can arrive any more. */
        void onFailure(String reason);
    }

    private final StrictResponseDecoder mDecoder;
    private Listener mListener;
    private boolean mRequestWritten;
    private int mInterimResponses;
    private HttpResponse mHead;
    private BodyBuffer mBody;

    CallResponseHandler(StrictResponseDecoder decoder) {
        mDecoder = decoder;
    }

    /** Starts to accept the response to a call's request. */
    void start(Listener listener, HttpMethod method, boolean hasBody) {
        mListener = listener;
        mRequestWritten = false;
        mInterimResponses = 0;
        mDecoder.onRequestSent(method, hasBody);
    }

    void onWritten(Future<?> write) {
        if (write.isSuccess()) {
            mRequestWritten = true;
        } else {
            fail("request could not be written: " + write.cause());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mListener != null && !mListener.isDone()) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("response is malformed: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mHead != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
            mHead = head;
            mBody = BodyBuffer.onHeap(MAX_RESPONSE_BYTES);
            return;
        }
        mInterimResponses++;
        if (mInterimResponses > MAX_INTERIM_RESPONSES) {
            fail("too many interim responses");
        }
    }

    private void readContent(HttpContent content) {
        if (!mBody.append(content.content())) {
            fail("response is too large or has too many pieces");
            return;
        }
        mListener.onBuffered(mBody.capacity());
        if (mListener != null && content instanceof LastHttpContent) {
            end();
        }
    }

    private void end() {
        boolean endsWithConnection = mDecoder.endsWithConnection();
        if (endsWithConnection && !mRequestWritten) {
            fail("connection closed before the request was written");
            return;
        }
        boolean hasMore = mDecoder.onResponseEnd();
        boolean reuse = HttpUtil.isKeepAlive(mHead) && !endsWithConnection && !hasMore;
        ByteBuf body = mBody.bytes();
        PooledHttpClient.Response response =
                new PooledHttpClient.Response(
                        mHead.status().code(), mHead.headers(), ByteBufUtil.getBytes(body));
        Listener listener = mListener;
        drop();
        listener.onResponse(response, reuse);
    }

    /** Ends the use of the connection by a call. */
    private void drop() {
        mListener = null;
        mHead = null;
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    private void fail(String reason) {
        Listener listener = mListener;
        drop();
        if (listener != null) {
            listener.onFailure(reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail("connection closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
        context.close();
    }
}
