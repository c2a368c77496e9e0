package org.catkinproxy.gateway;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.SendFailure;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * A connection to an upstream, which carries one request at a time.
 *
 * <p>A response that ends with the connection is complete only if the whole request was written
 * before: an upstream reads a request to its end before it closes the connection in peace, and a
 * connection that fails while it is written to is closed as silently as one that has ended.
 *
 * <p>A response that names another request is a late response to an earlier one: it is discarded,
 * and the connection is not reused after that. A response that names no request cannot be told from
 * a late copy of itself, so the connection is not reused after it either. What may be discarded
 * before a response is limited. Data that arrives without an open request closes the connection.
 * Used by the event loop only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** Limit for the bodies of discarded responses to earlier requests, before a response. */
    private static final long MAX_DISCARDED_BYTES = 256 * 1024;

    /** Limit for the interim and other discarded responses before a response. */
    private static final int MAX_DISCARDED_RESPONSES = 16;

    private final long mNumber;
    private final HeaderCodec mHeaderCodec;
    private final EventLog mLog;
    private final UpstreamConnectionPool mPool;
    private final StrictResponseDecoder mDecoder;
    private Channel mChannel;
    private ResponseListener mListener;

    /** The request that the connection carries, or the last one that it has carried. */
    private RequestId mRequestId;

    private int mRequestCount;
    private boolean mRequestWritten;
    private boolean mInResponse;

    /** Whether the end of the connection is the end of the response's body. */
    private boolean mEndsWithConnection;

    private boolean mDiscarding;
    private int mDiscardedResponses;
    private long mDiscardedBytes;
    private boolean mReusable = true;
    private int mKeepAliveSeconds = Integer.MAX_VALUE;

    /**
     * Creates a handler of a new connection.
     *
     * @param number identifies the connection in the log
     */
    UpstreamConnection(
            long number,
            HeaderCodec headerCodec,
            EventLog log,
            UpstreamConnectionPool pool,
            StrictResponseDecoder decoder) {
        mNumber = number;
        mHeaderCodec = headerCodec;
        mLog = log;
        mPool = pool;
        mDecoder = decoder;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    boolean isUsable() {
        return mChannel.isActive() && mReusable;
    }

    /** Returns the number that identifies the connection in the log. */
    long number() {
        return mNumber;
    }

    /** Returns how many requests the connection has carried, with the current one. */
    int requestCount() {
        return mRequestCount;
    }

    int keepAliveSeconds() {
        return mKeepAliveSeconds;
    }

    Channel channel() {
        return mChannel;
    }

    /** Sends a request; {@code listener} receives its response. */
    void send(
            RequestId id,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            ByteBuf body,
            ResponseListener listener) {
        mListener = listener;
        mRequestId = id;
        mRequestCount++;
        mRequestWritten = false;
        mInResponse = false;
        mDiscardedResponses = 0;
        mDiscardedBytes = 0;
        mDecoder.onRequestSent(method, body.isReadable());
        if (body.isReadable() || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri,
                        body.retainedDuplicate(),
                        headers,
                        EmptyHttpHeaders.INSTANCE);
        mChannel.writeAndFlush(request).addListener(f -> onWritten(listener, f));
    }

    /** Handles the end of the write of the request that {@code listener} has sent. */
    private void onWritten(ResponseListener listener, Future<?> write) {
        if (mListener != listener) {
            return;
        }
        if (write.isSuccess()) {
            mRequestWritten = true;
        } else {
            fail(SendFailure.BROKEN, "request could not be written: " + write.cause());
        }
    }

    /** Cancels the request and closes the connection; the listener is not called any more. */
    void cancel() {
        mListener = null;
        mReusable = false;
        mChannel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (mListener == null) {
            mReusable = false;
            mChannel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(SendFailure.GARBLED, "response is malformed: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && mListener != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        ResponseHead head = mHeaderCodec.readResponse(response);
        boolean otherRequest = head.requestId().filter(id -> !id.equals(mRequestId)).isPresent();
        mDiscarding = interim || otherRequest;
        if (otherRequest) {
            mReusable = false;
            logDiscarded(response, head);
        }
        if (mDiscarding) {
            mDiscardedResponses++;
            checkDiscarded();
            return;
        }
        mInResponse = true;
        mEndsWithConnection = mDecoder.endsWithConnection();
        mReusable &= !head.closesConnection() && head.requestId().isPresent();
        mKeepAliveSeconds = head.keepAliveSeconds().orElse(Integer.MAX_VALUE);
        mListener.onHead(response, head);
    }

    private void logDiscarded(HttpResponse response, ResponseHead head) {
        mLog.record(
                GatewayEvent.RESPONSE_DISCARDED,
                "request",
                mRequestId,
                "connection",
                mNumber,
                "earlier_requests",
                mRequestCount - 1,
                "named",
                head.requestId().orElseThrow(),
                "status",
                response.status().code(),
                "not_run",
                head.notRun());
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mDiscarding) {
            mDiscarding = !last;
            mDiscardedBytes += content.content().readableBytes();
            checkDiscarded();
            return;
        }
        if (!mInResponse) {
            return;
        }
        if (content.content().isReadable()) {
            mListener.onContent(content.content().retain());
        }
        if (!last || mListener == null) {
            return;
        }
        if (mEndsWithConnection && !mRequestWritten) {
            fail(SendFailure.BROKEN, "connection closed before the request was written");
        } else {
            end();
        }
    }

    private void checkDiscarded() {
        if (mDiscardedResponses > MAX_DISCARDED_RESPONSES
                || mDiscardedBytes > MAX_DISCARDED_BYTES) {
            fail(SendFailure.GARBLED, "too many responses that do not belong to the request");
        }
    }

    private void end() {
        ResponseListener listener = mListener;
        mListener = null;
        mInResponse = false;
        boolean hasMore = mDecoder.onResponseEnd();
        mReusable &= !hasMore;
        if (hasMore) {
            logExcessData();
        }
        setAutoRead(true);
        mPool.release(this);
        listener.onEnd();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event == StrictResponseDecoder.Notice.DATA_WITHOUT_REQUEST) {
            mReusable = false;
            logExcessData();
        }
    }

    private void logExcessData() {
        mLog.record(
                GatewayEvent.UPSTREAM_EXCESS_DATA,
                "address",
                mChannel.remoteAddress(),
                "connection",
                mNumber,
                "last_request",
                mRequestId);
    }

    private void fail(SendFailure failure, String reason) {
        ResponseListener listener = mListener;
        mListener = null;
        mReusable = false;
        mChannel.close();
        if (listener != null) {
            listener.onFailure(failure, reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.remove(this);
        fail(SendFailure.BROKEN, "connection closed before the response was complete");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(SendFailure.BROKEN, String.valueOf(cause.getMessage()));
    }

    /** Resumes or pauses reading, so that a slow caller slows down the upstream. */
    void setAutoRead(boolean autoRead) {
        mChannel.config().setAutoRead(autoRead);
    }
}
