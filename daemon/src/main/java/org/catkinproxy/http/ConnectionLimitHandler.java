package org.catkinproxy.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Closes new connections while the maximum number of connections is open.
 *
 * <p>Thread-safe; shared by all channels of a listener.
 */
@Sharable
final class ConnectionLimitHandler extends ChannelInboundHandlerAdapter {
    private final int mMaxConnections;
    private final AtomicInteger mOpenConnections = new AtomicInteger();

    ConnectionLimitHandler(int maxConnections) {
        mMaxConnections = maxConnections;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        Channel channel = ctx.channel();
        int open = mOpenConnections.incrementAndGet();
        channel.closeFuture().addListener(f -> mOpenConnections.decrementAndGet());
        if (open > mMaxConnections) {
            channel.close();
            return;
        }
        ctx.fireChannelActive();
    }
}
