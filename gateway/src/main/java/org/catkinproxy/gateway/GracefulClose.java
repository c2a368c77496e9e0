package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;

import java.util.concurrent.TimeUnit;

/**
 * The end of a caller's connection after its last response.
 *
 * <p>A connection that is closed with unread input is reset, and the caller would lose the end of
 * the response. So input is read and discarded, up to a limit, while the output ends, and the
 * connection is closed a while later. Used by the event loop only.
 */
final class GracefulClose {
    /** Time for which input is discarded after the last response of a connection. */
    private static final long DISCARD_MILLIS = 1_000;

    /** Limit for what is discarded after the last response. */
    private static final long MAX_DISCARDED_BYTES = 1024 * 1024;

    private final Channel mChannel;
    private boolean mDiscarding;
    private long mDiscardedBytes;

    GracefulClose(Channel channel) {
        mChannel = channel;
    }

    /** Returns whether what the caller still sends is discarded. */
    boolean isDiscarding() {
        return mDiscarding;
    }

    /** Starts to discard input, which {@code decoder} no longer decodes. */
    void startDiscarding(ChannelHandler decoder) {
        mDiscarding = true;
        if (mChannel.pipeline().context(decoder) != null) {
            mChannel.pipeline().remove(decoder);
        }
    }

    /** Releases a message that has arrived since input is discarded. */
    void discard(Object message) {
        if (message instanceof ByteBuf bytes) {
            mDiscardedBytes += bytes.readableBytes();
        }
        ReferenceCountUtil.release(message);
        if (mDiscardedBytes > MAX_DISCARDED_BYTES) {
            // What is not read any more resets the connection, once the response is written.
            mChannel.config().setAutoRead(false);
        }
    }

    /** Ends the output after the last response, and the connection a while later. */
    void closeAfter(ChannelFuture lastWrite) {
        lastWrite.addListener(f -> endOutput());
    }

    private void endOutput() {
        ((DuplexChannel) mChannel).shutdownOutput();
        mChannel.eventLoop()
                .schedule(() -> mChannel.close(), DISCARD_MILLIS, TimeUnit.MILLISECONDS);
    }
}
