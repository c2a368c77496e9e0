package org.catkinproxy.gateway;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** How much of one connection is read in a turn of the event loop. Stateless and thread-safe. */
final class ReadPolicy {
    /**
     * Reads each connection once in a turn of the loop, so that one with much data delays no other.
     */
    static final RecvByteBufAllocator ONE_READ_PER_TURN =
            new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);

    private ReadPolicy() {}
}
