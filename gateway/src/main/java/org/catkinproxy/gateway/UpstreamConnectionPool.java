package org.catkinproxy.gateway;

import org.catkinproxy.serving.Upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The connections to all upstreams; idle ones are kept for reuse for a limited time.
 *
 * <p>Used by the event loop only.
 */
final class UpstreamConnectionPool {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Time by which an idle connection expires before the upstream closes it. */
    private static final long IDLE_MARGIN_NANOS = 700_000_000L;

    /** Maximum time for which an idle connection is kept. */
    private static final long MAX_IDLE_NANOS = 8_000_000_000L;

    private final EventLoop mLoop;
    private final HeaderCodec mHeaderCodec;
    private final EventLog mLog;
    private final Map<String, Deque<IdleConnection>> mIdle = new HashMap<>();
    private final Map<UpstreamConnection, String> mAddresses = new HashMap<>();
    private long mLastNumber;

    /** An idle connection, and when it expires, in ns of the monotonic clock. */
    private record IdleConnection(UpstreamConnection connection, long expiresAt) {}

    /** Receives the outcome of {@link #acquire}. */
    interface AcquireListener {
        /** Called with a connection that can carry a request. */
        void onAcquired(UpstreamConnection connection);

        /** Called when no connection could be opened. */
        void onAcquireFailed(String reason);
    }

    UpstreamConnectionPool(EventLoop loop, HeaderCodec headerCodec, EventLog log) {
        mLoop = loop;
        mHeaderCodec = headerCodec;
        mLog = log;
    }

    /**
     * Acquires the idle connection that was used last, or opens a new one if there is none.
     *
     * @param excluded connections that must not be acquired
     */
    void acquire(Upstream upstream, Set<UpstreamConnection> excluded, AcquireListener listener) {
        Optional<UpstreamConnection> idle = pollIdle(address(upstream), excluded);
        if (idle.isPresent()) {
            listener.onAcquired(idle.get());
        } else {
            connect(upstream, listener);
        }
    }

    /** Takes a usable idle connection out of the pool, and closes those that are not usable. */
    private Optional<UpstreamConnection> pollIdle(
            String address, Set<UpstreamConnection> excluded) {
        Iterator<IdleConnection> newestFirst =
                mIdle.getOrDefault(address, new ArrayDeque<>()).descendingIterator();
        while (newestFirst.hasNext()) {
            IdleConnection idle = newestFirst.next();
            UpstreamConnection connection = idle.connection();
            if (excluded.contains(connection)) {
                continue;
            }
            newestFirst.remove();
            if (connection.isUsable() && idle.expiresAt() - System.nanoTime() > 0) {
                return Optional.of(connection);
            }
            connection.channel().close();
        }
        return Optional.empty();
    }

    private void connect(Upstream upstream, AcquireListener listener) {
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        mLastNumber++;
        UpstreamConnection connection =
                new UpstreamConnection(mLastNumber, mHeaderCodec, mLog, this, decoder);
        mAddresses.put(connection, address(upstream));
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReadPolicy.ONE_READ_PER_TURN)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new Initializer(decoder, connection))
                .connect(upstream.host(), upstream.port())
                .addListener((ChannelFuture f) -> onConnected(f, connection, listener));
    }

    private void onConnected(
            ChannelFuture future, UpstreamConnection connection, AcquireListener listener) {
        if (future.isSuccess()) {
            listener.onAcquired(connection);
        } else {
            remove(connection);
            listener.onAcquireFailed(String.valueOf(future.cause().getMessage()));
        }
    }

    /** Returns a connection to the pool after a complete response. */
    void release(UpstreamConnection connection) {
        String address = mAddresses.get(connection);
        if (!connection.isUsable() || address == null) {
            connection.channel().close();
            return;
        }
        long idleNanos = connection.keepAliveSeconds() * 1_000_000_000L - IDLE_MARGIN_NANOS;
        long expiresAt = System.nanoTime() + Math.min(MAX_IDLE_NANOS, idleNanos);
        mIdle.computeIfAbsent(address, k -> new ArrayDeque<>())
                .addLast(new IdleConnection(connection, expiresAt));
    }

    /** Removes a closed connection. */
    void remove(UpstreamConnection connection) {
        String address = mAddresses.remove(connection);
        if (address == null) {
            return;
        }
        Deque<IdleConnection> idle = mIdle.get(address);
        if (idle != null) {
            idle.removeIf(c -> c.connection() == connection);
            if (idle.isEmpty()) {
                mIdle.remove(address);
            }
        }
    }

    /** Closes the idle connections to an upstream, used when it is removed or does not respond. */
    void closeIdle(Upstream upstream) {
        Deque<IdleConnection> idle = mIdle.remove(address(upstream));
        if (idle != null) {
            idle.forEach(c -> c.connection().channel().close());
        }
    }

    /** Closes the expired idle connections. */
    void expire() {
        long now = System.nanoTime();
        for (Deque<IdleConnection> idle : mIdle.values()) {
            while (!idle.isEmpty() && idle.peekFirst().expiresAt() - now <= 0) {
                idle.pollFirst().connection().channel().close();
            }
        }
        mIdle.values().removeIf(Deque::isEmpty);
    }

    private static String address(Upstream upstream) {
        return upstream.address().toString();
    }

    private static final class Initializer extends ChannelInitializer<Channel> {
        private final StrictResponseDecoder mDecoder;
        private final UpstreamConnection mConnection;

        Initializer(StrictResponseDecoder decoder, UpstreamConnection connection) {
            mDecoder = decoder;
            mConnection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ConnectionEndHandler())
                    .addLast(mDecoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(mConnection);
        }
    }
}
