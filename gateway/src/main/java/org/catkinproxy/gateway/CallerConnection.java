package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.serving.RetryAfterPolicy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/**
 * A caller's connection, which handles one request at a time.
 *
 * <p>Pipelined messages are queued until the open request has its response. Used by the event loop
 * only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Messages queued while a request is open; no more is read until they have been handled. */
    private static final int MAX_PIPELINED_MESSAGES = 64;

    /** Time without input after which a partly received request does not hold up a stop. */
    private static final long STALLED_REQUEST_NANOS = 2_000_000_000L;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Gateway mGateway;
    private final StrictRequestDecoder mDecoder;
    private final CallerResponseEncoder mEncoder;
    private final Deque<HttpObject> mPipelined = new ArrayDeque<>();
    private Channel mChannel;

    /** The end of the connection; set once it is active. */
    private GracefulClose mClose;

    /** Output that the caller had not taken at the last check for the idle timeout. */
    private long mUnwrittenBytes;

    private HttpRequest mRequest;

    /** What has arrived of the request's body, null before its first byte. */
    private BodyBuffer mBody;

    private Exchange mExchange;
    private boolean mCloseAfterResponse;

    /** Whether the caller has asked for the end of the connection after its response. */
    private boolean mClosedByCaller;

    private long mLastActiveAt;
    private long mAcceptedAt;
    private long mAcceptWaitNanos;

    CallerConnection(Gateway gateway, StrictRequestDecoder decoder, CallerResponseEncoder encoder) {
        mGateway = gateway;
        mDecoder = decoder;
        mEncoder = encoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mChannel = context.channel();
        mClose = new GracefulClose(mChannel);
        mAcceptedAt = mGateway.now();
        mAcceptWaitNanos = mGateway.listenerQueue().waitNanos();
        mLastActiveAt = mAcceptedAt;
        mGateway.openRequests().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mGateway.openRequests().remove(this);
        dropRequest();
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
        if (mExchange != null) {
            Exchange exchange = mExchange;
            mExchange = null;
            exchange.onCallerDisconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            mGateway.log()
                    .record(GatewayEvent.TASK_FAILED, "task", "caller connection", "reason", cause);
        }
        context.close();
    }

    /**
     * Slows down the upstream of a caller that reads slowly. Between exchanges, requests of a
     * caller that does not read its responses are not read either, as the responses would fill the
     * memory.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean writable = mChannel.isWritable();
        if (mExchange != null) {
            mExchange.onCallerWritabilityChanged(writable);
        }
        updateAutoRead();
    }

    private void updateAutoRead() {
        boolean takesResponses = mChannel.isWritable() || mExchange != null;
        boolean takesRequests = mPipelined.size() < MAX_PIPELINED_MESSAGES;
        mChannel.config().setAutoRead(takesResponses && takesRequests);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mClose.isDiscarding()) {
            mClose.discard(message);
        } else if (mExchange == null && mPipelined.isEmpty()) {
            handle((HttpObject) message);
        } else {
            mPipelined.addLast((HttpObject) message);
            updateAutoRead();
        }
    }

    private void handle(HttpObject message) {
        try {
            mLastActiveAt = mGateway.now();
            if (message.decoderResult().isFailure()) {
                refuseUndecodable(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest request) {
                mRequest = request;
                mEncoder.onRequest(request.method());
                sendContinueIfExpected(request);
            }
            if (message instanceof HttpContent content && mRequest != null) {
                appendBody(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void sendContinueIfExpected(HttpRequest request) {
        if (HttpUtil.is100ContinueExpected(request)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void appendBody(HttpContent content) {
        boolean fits = !content.content().isReadable() || bufferBody(content.content());
        if (!fits) {
            refuseAndClose(ErrorCode.BODY_TOO_LARGE, 0);
        } else if (content instanceof LastHttpContent) {
            startExchange();
        }
    }

    private boolean bufferBody(ByteBuf piece) {
        if (mBody == null) {
            mBody = BodyBuffer.ofRequest(mGateway.limits().maxBodyBytes());
        }
        return mBody.append(piece);
    }

    private void startExchange() {
        HttpRequest request = mRequest;
        ByteBuf body = mBody == null ? Unpooled.EMPTY_BUFFER : mBody.bytes();
        mRequest = null;
        mBody = null;
        mClosedByCaller = !HttpUtil.isKeepAlive(request);
        mCloseAfterResponse |= mClosedByCaller;
        try {
            mExchange = mGateway.admit(this, request, body);
            mExchange.start();
        } catch (CatkinException e) {
            body.release();
            mGateway.logRefusal(request.headers(), e);
            sendError(e.code(), retryAfterMillis());
        }
    }

    private void refuseUndecodable(Throwable cause) {
        boolean headTooLarge =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        refuseAndClose(headTooLarge ? ErrorCode.HEAD_TOO_LARGE : ErrorCode.MALFORMED_HEAD, 0);
    }

    /** Refuses a request of which the caller may still send a part. */
    private void refuseAndClose(ErrorCode code, long retryAfterMillis) {
        dropRequest();
        mCloseAfterResponse = true;
        discardInput();
        mGateway.log().record(GatewayEvent.REQUEST_REFUSED, "code", code.wireName());
        sendError(code, retryAfterMillis);
    }

    /** Refuses a request whose rest would arrive after the end of the process. */
    void refusePartialRequest() {
        if (mExchange == null && mPipelined.isEmpty() && isReceiving()) {
            refuseAndClose(ErrorCode.STOPPING, retryAfterMillis());
        }
    }

    private long retryAfterMillis() {
        return RetryAfterPolicy.retryAfterMillis(0, Long.MAX_VALUE, mGateway.random());
    }

    /** Discards what follows; the connection ends with the response. */
    private void discardInput() {
        mClose.startDiscarding(mDecoder);
        mPipelined.forEach(ReferenceCountUtil::release);
        mPipelined.clear();
    }

    /** Closes the connection after its last response; a caller that asked for it sends no more. */
    private void closeAfter(ChannelFuture lastWrite) {
        if (mClosedByCaller && !mClose.isDiscarding()) {
            lastWrite.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (!mClose.isDiscarding()) {
            discardInput();
        }
        mClose.closeAfter(lastWrite);
    }

    private void dropRequest() {
        mRequest = null;
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    /**
     * Responds with an error of the gateway.
     *
     * @param retryAfterMillis the time for the Retry-After header of a 503 response, 0 for none
     */
    void sendError(ErrorCode code, long retryAfterMillis) {
        byte[] body = ("{\"error\":\"" + code.wireName() + "\"}").getBytes(StandardCharsets.UTF_8);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        if (retryAfterMillis > 0 && code.httpStatus() == 503) {
            double seconds = retryAfterMillis / MILLIS_PER_SECOND;
            headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", seconds));
        }
        sendResponse(
                HttpResponseStatus.valueOf(code.httpStatus()),
                headers,
                Unpooled.wrappedBuffer(body));
    }

    /**
     * Sends a full response and releases {@code body}. The response to a HEAD request has the
     * length that its body would have, or none if there is no body to tell.
     */
    void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (body.isReadable() || !mEncoder.isHeadRequest()) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        boolean close = setConnectionClose(headers);
        ChannelFuture written =
                mChannel.writeAndFlush(
                        new DefaultFullHttpResponse(
                                HttpVersion.HTTP_1_1,
                                status,
                                body,
                                headers,
                                EmptyHttpHeaders.INSTANCE));
        onResponseEnd(written, close);
    }

    /** Starts a chunked response. */
    void startStream(HttpResponseStatus status, HttpHeaders headers) {
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        mCloseAfterResponse = setConnectionClose(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    /** Writes a part of a chunked response and releases it. */
    void writeStream(ByteBuf part) {
        mChannel.writeAndFlush(new DefaultHttpContent(part));
        if (!mChannel.isWritable() && mExchange != null) {
            mExchange.onCallerWritabilityChanged(false);
        }
    }

    /** Ends a chunked response as complete. */
    void endStream() {
        onResponseEnd(
                mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), mCloseAfterResponse);
    }

    /** Closes the connection within a response, so that the caller sees it as incomplete. */
    void abort() {
        mExchange = null;
        mChannel.close();
    }

    private boolean setConnectionClose(HttpHeaders headers) {
        boolean close = mCloseAfterResponse || (mGateway.isStopping() && !isReceiving());
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }

    private void onResponseEnd(ChannelFuture lastWrite, boolean closing) {
        mExchange = null;
        mLastActiveAt = mGateway.now();
        updateAutoRead();
        if (closing) {
            closeAfter(lastWrite);
        } else {
            mGateway.loop().execute(this::handlePipelined);
        }
    }

    private void handlePipelined() {
        while (mExchange == null && !mPipelined.isEmpty()) {
            handle(mPipelined.pollFirst());
        }
        updateAutoRead();
    }

    /** Returns the longest time, in ns, that a request may have waited which is read now. */
    long maxWaitNanos() {
        return mGateway.loopDelay().maxWaitNanos(mGateway.now(), mAcceptedAt, mAcceptWaitNanos);
    }

    /**
     * Closes the connection if no request was open, nothing arrived and the caller took nothing of
     * its response for the idle timeout.
     */
    void closeIfTimedOut(long now) {
        long unwrittenBytes = unwrittenBytes();
        if (mExchange != null || unwrittenBytes != mUnwrittenBytes) {
            mUnwrittenBytes = unwrittenBytes;
            mLastActiveAt = now;
        } else if (now - mLastActiveAt > mGateway.limits().idleTimeout().toNanos()) {
            mChannel.close();
        }
    }

    /** Logs that the end of the process cuts off a response or a partly received request. */
    void logCut() {
        if (mExchange == null && !isSettled()) {
            mGateway.log()
                    .record(
                            GatewayEvent.CALLER_CUT,
                            "unwritten_bytes",
                            unwrittenBytes(),
                            "receiving",
                            mDecoder.isWithinRequest(),
                            "queued_parts",
                            mPipelined.size());
        }
    }

    private long unwrittenBytes() {
        ChannelOutboundBuffer output = mChannel.unsafe().outboundBuffer();
        return output == null ? 0 : output.totalPendingWriteBytes();
    }

    /** Returns whether the caller has its responses and has not begun another request. */
    boolean isSettled() {
        boolean waits = isReceiving() && !isReceptionStalled();
        return mExchange == null && !waits && unwrittenBytes() == 0;
    }

    private boolean isReceptionStalled() {
        return mPipelined.isEmpty()
                && mGateway.now() - mDecoder.lastInputAt() > STALLED_REQUEST_NANOS;
    }

    /** Returns whether at least a part of another request has arrived. */
    private boolean isReceiving() {
        return !mClose.isDiscarding() && (mDecoder.isWithinRequest() || !mPipelined.isEmpty());
    }
}
