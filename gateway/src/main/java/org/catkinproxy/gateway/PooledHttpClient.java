package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.serving.BufferBudget;
import org.catkinproxy.serving.StorePolling;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
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
 * <p>A connection is reused after a complete response and closed after any failure. A call that
 * times out or is cancelled closes the idle connections to its server too, so that connections that
 * have fallen silent together cost one timeout. Calls have no id, so a response is matched to its
 * call by the connection alone: calls to servers that may write a response more than once go
 * through {@link #withoutReuse}, unless a response to an earlier call of the same kind does no
 * harm. A response that breaks off or does not end fails its call, and bytes that belong to no call
 * close their connection. All responses together use a limited amount of memory. Used by the event
 * loop only.
 */
public final class PooledHttpClient {
    /** Maximum number of idle connections to one address. */
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    /** Limit for the bodies of all responses that are being received. */
    private static final long MAX_BUFFERED_BYTES = 12 * 1024 * 1024;

    private final EventLoop mLoop;
    private final int mMaxIdlePerAddress;
    private final Duration mConnectTimeout;
    private final Map<String, Deque<Channel>> mIdle = new HashMap<>();
    private final BufferBudget<Call> mBufferBudget;

    /**
     * A full response.
     *
     * @param status the HTTP status code
     * @param headers the headers
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    private PooledHttpClient(
            EventLoop loop,
            int maxIdlePerAddress,
            Duration connectTimeout,
            BufferBudget<Call> bufferBudget) {
        mLoop = loop;
        mMaxIdlePerAddress = maxIdlePerAddress;
        mConnectTimeout = connectTimeout;
        mBufferBudget = bufferBudget;
    }

    /** Returns a client whose connections are handled by {@code loop}. */
    public static PooledHttpClient of(EventLoop loop) {
        return new PooledHttpClient(
                loop,
                MAX_IDLE_PER_ADDRESS,
                StorePolling.CONNECT_TIMEOUT,
                BufferBudget.of(MAX_BUFFERED_BYTES));
    }

    /**
     * Returns a client that makes each call on a new connection, and shares the memory for
     * responses with this one.
     */
    public PooledHttpClient withoutReuse() {
        return withoutReuse(mConnectTimeout);
    }

    /** The same, with another limit for the time to open a connection. */
    public PooledHttpClient withoutReuse(Duration connectTimeout) {
        return new PooledHttpClient(mLoop, 0, connectTimeout, mBufferBudget);
    }

    /**
     * Makes a call when the result is subscribed to.
     *
     * @param step the step named by the error of a failed call
     * @param address the server as {@code host:port}
     * @param headers headers in addition to host, content type and length
     * @return the response, or a {@link CatkinException} whose outcome states whether the call may
     *     have taken effect, and whose cause is that of a connection that could not be opened
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

    private final class Call implements CallResponseHandler.Listener {
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
            mTimer = mLoop.schedule(this::onTimeout, mTimeout.toMillis(), TimeUnit.MILLISECONDS);
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
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) mConnectTimeout.toMillis())
                    .handler(new Initializer())
                    .connect(
                            mAddress.substring(0, colon),
                            Integer.parseInt(mAddress.substring(colon + 1)))
                    .addListener(
                            (io.netty.channel.ChannelFutureListener)
                                    f -> {
                                        if (!f.isSuccess()) {
                                            request.release();
                                            fail(String.valueOf(f.cause().getMessage()), f.cause());
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
            CallResponseHandler handler = channel.pipeline().get(CallResponseHandler.class);
            handler.start(this, request.method(), request.content().isReadable());
            channel.writeAndFlush(request).addListener(handler::onWritten);
        }

        @Override
        public boolean isDone() {
            return mDone;
        }

        @Override
        public void onResponse(Response response, boolean reuse) {
            if (mDone) {
                return;
            }
            mDone = true;
            mTimer.cancel(false);
            mBufferBudget.record(this, 0);
            release(reuse);
            mEmitter.onSuccess(response);
        }

        private void release(boolean reuse) {
            Deque<Channel> idle = mIdle.computeIfAbsent(mAddress, k -> new ArrayDeque<>());
            if (reuse && idle.size() < mMaxIdlePerAddress) {
                idle.addLast(mChannel);
            } else {
                mChannel.close();
            }
        }

        /** Records the size of the buffered body, which ends the largest call if it is too much. */
        @Override
        public void onBuffered(int bytes) {
            if (!mDone) {
                mBufferBudget
                        .record(this, bytes)
                        .ifPresent(c -> c.fail("buffered responses exceed the memory limit"));
            }
        }

        /** Cancels the call unless it has ended. */
        void cancel() {
            if (!mDone) {
                closeIdle();
                end();
            }
        }

        private void onTimeout() {
            closeIdle();
            fail("timeout");
        }

        /** Closes the idle connections: what has silenced one may have silenced all. */
        private void closeIdle() {
            Deque<Channel> idle = mIdle.remove(mAddress);
            if (idle != null) {
                idle.forEach(Channel::close);
            }
        }

        private void end() {
            mDone = true;
            mTimer.cancel(false);
            mBufferBudget.record(this, 0);
            if (mChannel != null) {
                mChannel.close();
            }
        }

        @Override
        public void onFailure(String reason) {
            fail(reason);
        }

        private void fail(String reason) {
            fail(reason, null);
        }

        private void fail(String reason, Throwable cause) {
            if (mDone) {
                return;
            }
            end();
            Outcome outcome = mSent ? Outcome.UNKNOWN : Outcome.NOT_RUN;
            mEmitter.tryOnError(
                    CatkinException.of(
                            ErrorCode.STORE_UNAVAILABLE, mStep, mAddress, outcome, reason, cause));
        }
    }

    private static final class Initializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {
            StrictResponseDecoder decoder = new StrictResponseDecoder();
            channel.pipeline()
                    .addLast(new ConnectionEndHandler())
                    .addLast(decoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(new CallResponseHandler(decoder));
        }
    }
}
