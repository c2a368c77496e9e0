package org.catkinproxy.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;

import java.util.concurrent.TimeUnit;

/**
 * Responds with status 408 and closes the connection if a request is not received completely in
 * time.
 *
 * <p>For the first request of a connection, the time starts when the connection is opened; for
 * later requests, when their headers have been received. It ends with the last byte of the request.
 *
 * <p>Not thread-safe: belongs to one channel and is used only on its event loop.
 */
final class RequestTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final int mTimeoutMillis;
    private ScheduledFuture<?> mTimer;

    RequestTimeoutHandler(int timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        startTimer(ctx);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest && mTimer == null) {
            startTimer(ctx);
        }
        if (message instanceof LastHttpContent) {
            stopTimer();
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopTimer();
        ctx.fireChannelInactive();
    }

    private void startTimer(ChannelHandlerContext ctx) {
        mTimer =
                ctx.executor()
                        .schedule(
                                () -> sendTimeoutResponse(ctx),
                                mTimeoutMillis,
                                TimeUnit.MILLISECONDS);
    }

    private void stopTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
            mTimer = null;
        }
    }

    private void sendTimeoutResponse(ChannelHandlerContext ctx) {
        CatkinException error =
                CatkinException.notRun(
                        ErrorCode.SLOW_SENDER,
                        Step.PARSE,
                        CatkinException.NO_PEER,
                        "the request was not received completely within " + mTimeoutMillis + " ms");
        byte[] body = ErrorBody.toJson(error).getBytes(UTF_8);
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.REQUEST_TIMEOUT,
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
