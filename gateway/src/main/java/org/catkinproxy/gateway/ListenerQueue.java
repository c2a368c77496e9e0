package org.catkinproxy.gateway;

import org.catkinproxy.serving.AcceptDelayEstimator;
import org.catkinproxy.serving.LoopDelayEstimator;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;

import java.util.concurrent.TimeUnit;

/**
 * Tells how long callers' connections may have waited in the queue of the listener.
 *
 * <p>A handler of the listening channel. Used by the event loop only.
 */
final class ListenerQueue extends ChannelInboundHandlerAdapter {
    /** Connections that the listener accepts in one turn of the loop at most. */
    static final int MAX_ACCEPTS_PER_TURN = 16;

    private final EventLoop mLoop;
    private final LoopDelayEstimator mLoopDelay;
    private final AcceptDelayEstimator mAcceptDelay = AcceptDelayEstimator.of(MAX_ACCEPTS_PER_TURN);
    private long mWaitNanos;
    private long mTurns;

    ListenerQueue(EventLoop loop, LoopDelayEstimator loopDelay) {
        mLoop = loop;
        mLoopDelay = loopDelay;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        long now = System.nanoTime();
        mWaitNanos = mAcceptDelay.onAccept(now, mLoopDelay.maxWaitNanos(now));
        context.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        mTurns++;
        mAcceptDelay.onTurnEnd();
        if (!mAcceptDelay.isEmptied()) {
            long turns = mTurns;
            // A task that is scheduled by another task runs at the end of the next turn.
            mLoop.execute(() -> mLoop.schedule(() -> endTurn(turns), 0, TimeUnit.NANOSECONDS));
        }
        context.fireChannelReadComplete();
    }

    /** Ends a turn that accepted no connection, if there was one since {@code turns}. */
    private void endTurn(long turns) {
        if (turns == mTurns) {
            mAcceptDelay.onTurnEnd();
        }
    }

    /** Returns the longest time, in ns, that the connection accepted last may have waited. */
    long waitNanos() {
        return mWaitNanos;
    }
}
