package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP client for short calls to the store and to engines, with one call at a time on each
 * connection.
 *
 * <p>A connection is reused after a complete response and closed after any failure, so that an
 * unresponsive one costs only one timeout. Used by the event loop only.
 */
public final class PooledHttpClient {
    /** Limit for a response; a page of rows has at most 1 MiB, apart from its encoding. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 700;

    /** Maximum number of idle connections to one address. */
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    private final EventLoop mLoop;
    private final Map<String, Deque<Channel>> mIdle = new HashMap<>();

    /**
     * A full response.
     *
     * @param status the HTTP status code
     * @param body the body
     */
    public record Response(int status, byte[] body) {}

    private PooledHttpClient(EventLoop loop) {
        mLoop = loop;
    }

    /** Returns a client whose connections are handled by {@code loop}. */
    public static PooledHttpClient of(EventLoop loop) {
        return new PooledHttpClient(loop);
    }

    /**
     * Makes a call when the result is subscribed to.
     *
     * @param step the step named by the error of a failed call
     * @param address the server as {@code host:port}
     * @param headers headers in addition to host, content type and length
     * @return the response, or an error whose outcome states whether the call may have taken effect
     */
    public Single<Response> call(
            Step step,
            String address,
            HttpMethod method,
            String path,
            Map<String, String> headers,
            Optional<byte[]> body,
            Duration timeout) {
        return Single.create(
                emitter -> {
                    Call call = new Call(step, address, timeout, emitter);
                    DefaultFullHttpRequest request =
                            new DefaultFullHttpRequest(
                                    HttpVersion.HTTP_1_1,
                                    method,
                                    path,
                                    Unpooled.wrappedBuffer(body.orElse(new byte[0])));
                    request.headers().set(HttpHeaderNames.HOST, address);
                    headers.forEach((k, v) -> request.headers().set(k, v));
                    body.ifPresent(
                            b -> {
                                request.headers()
                                        .set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                                HttpUtil.setContentLength(request, b.length);
                            });
                    emitter.setCancellable(call::cancel);
                    call.start(request);
                });
    }

    private final class Call {
        private final Step mStep;
        private final String mAddress;
        private final Duration mTimeout;
        private final SingleEmitter<Response> mEmitter;
        private Channel mChannel;
        private ScheduledFuture<?> mTimer;
        private boolean mSent;
        private boolean mDone;

        Call(Step step, String address, Duration timeout, SingleEmitter<Response> emitter) {
            mStep = step;
            mAddress = address;
            mTimeout = timeout;
            mEmitter = emitter;
        }

        void start(DefaultFullHttpRequest request) {
            mTimer =
                    mLoop.schedule(
                            () -> fail("timeout"), mTimeout.toMillis(), TimeUnit.MILLISECONDS);
            Channel idle = pollIdle();
            if (idle != null) {
                send(idle, request);
                return;
            }
            connect(request);
        }

        private Channel pollIdle() {
            Deque<Channel> idle = mIdle.getOrDefault(mAddress, new ArrayDeque<>());
            Channel channel = idle.pollLast();
            while (channel != null && !channel.isActive()) {
                channel = idle.pollLast();
            }
            return channel;
        }

        private void connect(DefaultFullHttpRequest request) {
            int colon = mAddress.lastIndexOf(':');
            new Bootstrap()
                    .group(mLoop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new Initializer())
                    .connect(
                            mAddress.substring(0, colon),
                            Integer.parseInt(mAddress.substring(colon + 1)))
                    .addListener(
                            (io.netty.channel.ChannelFutureListener)
                                    f -> {
                                        if (!f.isSuccess()) {
                                            request.release();
                                            fail(String.valueOf(f.cause().getMessage()));
                                        } else if (mDone) {
                                            request.release();
                                            f.channel().close();
                                        } else {
                                            send(f.channel(), request);
                                        }
                                    });
        }

        private void send(Channel channel, DefaultFullHttpRequest request) {
            mChannel = channel;
            mSent = true;
            channel.pipeline().get(ResponseHandler.class).mCall = this;
            channel.writeAndFlush(request);
        }

        void onResponse(FullHttpResponse response) {
            if (mDone) {
                return;
            }
            mDone = true;
            mTimer.cancel(false);
            boolean reuse = HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess();
            Response result =
                    new Response(
                            response.status().code(), ByteBufUtil.getBytes(response.content()));
            release(reuse);
            mEmitter.onSuccess(result);
        }

        private void release(boolean reuse) {
            Deque<Channel> idle = mIdle.computeIfAbsent(mAddress, k -> new ArrayDeque<>());
            mChannel.pipeline().get(ResponseHandler.class).mCall = null;
            if (reuse && idle.size() < MAX_IDLE_PER_ADDRESS) {
                idle.addLast(mChannel);
            } else {
                mChannel.close();
            }
        }

        /** Cancels the call unless it has ended. */
        void cancel() {
            if (!mDone) {
                end();
            }
        }

        private void end() {
            mDone = true;
            mTimer.cancel(false);
            if (mChannel != null) {
                mChannel.close();
            }
        }

        void fail(String reason) {
            if (mDone) {
                return;
            }
            end();
            Outcome outcome = mSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
            mEmitter.tryOnError(
                    CatkinException.of(
                            ErrorCode.STORE_UNAVAILABLE, mStep, mAddress, outcome, reason, null));
        }
    }

    private static final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(new ResponseHandler());
        }
    }

    /** Passes responses to the call that uses the connection. */
    private static final class ResponseHandler
            extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Call mCall;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (mCall == null) {
                context.close();
                return;
            }
            mCall.onResponse(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mCall != null) {
                mCall.fail("connection closed before the response was complete");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (mCall != null) {
                mCall.fail(String.valueOf(cause.getMessage()));
            }
            context.close();
        }
    }
}
