package org.catkinproxy.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import java.net.InetSocketAddress;

/** Opens the listener for callers, whose connections {@link CallerConnection} serves. */
final class CallerListener {
    /** Connections that may wait until the event loop accepts them. */
    private static final int BACKLOG_CONNECTIONS = 1024;

    private CallerListener() {}

    /** Listens for callers at {@code address}. */
    static ChannelFuture listen(Gateway gateway, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(gateway.loop())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                .option(
                        ChannelOption.RCVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(ListenerQueue.MAX_ACCEPTS_PER_TURN))
                .handler(gateway.listenerQueue())
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReadPolicy.ONE_READ_PER_TURN)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                StrictRequestDecoder decoder =
                                        new StrictRequestDecoder(gateway.limits().maxHeaderBytes());
                                CallerResponseEncoder encoder = new CallerResponseEncoder();
                                channel.pipeline()
                                        .addLast(decoder)
                                        .addLast(encoder)
                                        .addLast(new CallerConnection(gateway, decoder, encoder));
                            }
                        })
                .bind(address);
    }
}
