package org.catkinproxy.http;

import com.google.common.base.Ticker;

import io.jooby.Jooby;
import io.jooby.Server;
import io.jooby.ServerOptions;
import io.jooby.internal.netty.NettyHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.multipart.DefaultHttpDataFactory;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.DefaultThreadFactory;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A Netty server for Jooby with limits that Jooby's own Netty server does not offer.
 *
 * <p>Adds a maximum number of connections, a timeout for receiving requests, and a TLS context that
 * is fetched for each connection, so that keys can be replaced without a restart. Request bodies
 * stay in memory, because instances have no disks.
 *
 * <p>Not thread-safe: one thread starts and stops the server.
 */
final class BoundedNettyServer extends Server.Base {
    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int SHUTDOWN_TIMEOUT_SECONDS = 2;

    private final HttpLimits mLimits;
    private final Optional<Supplier<SslContext>> mTls;
    private final ConnectionCloseHandler mCloseHandler = new ConnectionCloseHandler();
    private final UnwrittenResponses mUnwritten = new UnwrittenResponses(Ticker.systemTicker());
    private final EventLoopGroup mAcceptGroup;
    private final EventLoopGroup mIoGroup;
    private final ExecutorService mWorkers;
    private ServerOptions mOptions;
    private Jooby mApplication;
    private Channel mServerChannel;

    BoundedNettyServer(
            ServerOptions options, HttpLimits limits, Optional<Supplier<SslContext>> tls) {
        mOptions = options;
        mLimits = limits;
        mTls = tls;
        mAcceptGroup = new NioEventLoopGroup(1, new DefaultThreadFactory("http-accept", true));
        mIoGroup =
                new NioEventLoopGroup(
                        options.getIoThreads(), new DefaultThreadFactory("http-io", true));
        mWorkers =
                Executors.newFixedThreadPool(
                        options.getWorkerThreads(), new DefaultThreadFactory("http-work", true));
    }

    /** Returns the handler that runs actions when connections close. */
    ConnectionCloseHandler closeHandler() {
        return mCloseHandler;
    }

    /** Returns the number of writes to callers that are pending and get on. */
    int unwrittenCount() {
        return mUnwritten.count();
    }

    /** Returns the port that the started server is bound to. */
    int port() {
        return ((InetSocketAddress) mServerChannel.localAddress()).getPort();
    }

    @Override
    public Server setOptions(ServerOptions options) {
        mOptions = options;
        return this;
    }

    @Override
    public ServerOptions getOptions() {
        return mOptions;
    }

    @Override
    public String getName() {
        return "netty";
    }

    @Override
    public Server start(Jooby application) {
        mApplication = application;
        fireStart(List.of(application), mWorkers);
        mServerChannel =
                new ServerBootstrap()
                        .group(mAcceptGroup, mIoGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new PipelineInitializer())
                        .bind(mOptions.getHost(), mOptions.getPort())
                        .syncUninterruptibly()
                        .channel();
        fireReady(List.of(application));
        return this;
    }

    @Override
    public Server stop() {
        fireStop(List.of(mApplication));
        if (mServerChannel != null) {
            mServerChannel.close().syncUninterruptibly();
        }
        mAcceptGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mIoGroup.shutdownGracefully(0, SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mWorkers.shutdown();
        return this;
    }

    /** Adds the handlers to the channel pipeline of each accepted connection. */
    private final class PipelineInitializer extends ChannelInitializer<SocketChannel> {
        private final ConnectionLimitHandler mConnectionLimitHandler =
                new ConnectionLimitHandler(mLimits.maxConnections());

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast("connections", mConnectionLimitHandler);
            mTls.ifPresent(
                    tls ->
                            channel.pipeline()
                                    .addLast("ssl", tls.get().newHandler(channel.alloc())));
            channel.pipeline()
                    .addLast("unwritten", mUnwritten)
                    .addLast("flush", new FlushConsolidationHandler())
                    .addLast(
                            "codec",
                            new HttpServerCodec(
                                    MAX_INITIAL_LINE_BYTES,
                                    mLimits.maxHeaderBytes(),
                                    MAX_CHUNK_BYTES))
                    .addLast("timeout", new RequestTimeoutHandler(mLimits.requestTimeoutMillis()))
                    .addLast("expect-continue", new HttpServerExpectContinueHandler())
                    .addLast("open", mCloseHandler)
                    .addLast("handler", newJoobyHandler(channel));
        }

        private NettyHandler newJoobyHandler(SocketChannel channel) {
            return new NettyHandler(
                    channel.eventLoop(),
                    mApplication,
                    mLimits.maxBodyBytes(),
                    mOptions.getBufferSize(),
                    new DefaultHttpDataFactory(false),
                    false,
                    false);
        }
    }
}
