package org.catkinproxy.http;

import com.google.common.base.Ticker;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.PromiseNotifier;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts what was handed to the connections of a listener and is not yet written to the network.
 *
 * <p>A response is complete for its handler before a slow caller has received it, and a process
 * that ends then cuts it. Writes of which nothing moves for a while don't count, so that callers
 * who do not read can't delay a stop for good. Thread-safe; shared by all channels of a listener.
 */
@Sharable
final class UnwrittenResponses extends ChannelOutboundHandlerAdapter {
    /** Time without progress on any connection after which callers count as not reading. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final Ticker mTicker;
    private final AtomicInteger mPendingWrites = new AtomicInteger();
    private volatile long mLastProgressAt;

    UnwrittenResponses(Ticker ticker) {
        mTicker = ticker;
        mLastProgressAt = ticker.read();
    }

    /** Returns the number of writes that are pending, 0 if none of them gets on. */
    int count() {
        boolean stalled = mTicker.read() - mLastProgressAt > STALLED_NANOS;
        return stalled ? 0 : mPendingWrites.get();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        mLastProgressAt = mTicker.read();
        mPendingWrites.incrementAndGet();
        ChannelProgressivePromise written = context.newProgressivePromise();
        written.addListener(
                new ChannelProgressiveFutureListener() {
                    @Override
                    public void operationProgressed(
                            ChannelProgressiveFuture future, long progress, long total) {
                        mLastProgressAt = mTicker.read();
                    }

                    @Override
                    public void operationComplete(ChannelProgressiveFuture future) {
                        mLastProgressAt = mTicker.read();
                        mPendingWrites.decrementAndGet();
                    }
                });
        PromiseNotifier.cascade(written, promise.unvoid());
        context.write(message, written);
    }
}
