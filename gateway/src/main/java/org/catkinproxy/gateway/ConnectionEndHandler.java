package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.Future;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Delays the end of a connection until a reset that follows it has arrived.
 *
 * <p>A server that closes a connection without having read the whole request ends and resets it. A
 * response whose body ends with the connection is then cut short, but the end arrives first and
 * looks like that of a whole body; reading shows no reset after it, and only a write fails. So some
 * time after the end an empty line is written, which every server ignores after a request. This
 * applies to connections with {@code ALLOW_HALF_CLOSURE}, which {@link StrictResponseDecoder} sets;
 * others end at once. Used by the event loop only.
 */
final class ConnectionEndHandler extends ChannelInboundHandlerAdapter {
    /** Time in which the reset follows the end. */
    private static final long RESET_GRACE_MILLIS = 25;

    private static final ByteBuf EMPTY_LINE =
            Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("\r\n", StandardCharsets.US_ASCII).asReadOnly());

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event != ChannelInputShutdownEvent.INSTANCE) {
            context.fireUserEventTriggered(event);
            return;
        }
        context.executor()
                .schedule(() -> probe(context), RESET_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Ends the connection; a write that has to wait shows that the request was not read. */
    private void probe(ChannelHandlerContext context) {
        Future<?> write = context.writeAndFlush(EMPTY_LINE.duplicate());
        if (write.isDone() && !write.isSuccess()) {
            context.fireExceptionCaught(
                    new IOException("connection was reset after its end", write.cause()));
        }
        context.close();
    }
}
