package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The body of a request or response as it arrives, up to a limit of bytes and of pieces.
 *
 * <p>Pieces are copied into one buffer whose capacity grows in steps. So a short piece does not
 * keep the much larger buffer in which it was received, a body of very short pieces costs no more
 * than its size, and {@link #capacity} is the memory that is in use. A response of more pieces than
 * the limit costs mainly the time to decode them, which upstreams in trouble send without end; the
 * pieces of a request are not limited. Not thread-safe.
 */
final class BodyBuffer {
    /** Limit for the pieces of a response; those of a large one have 256 bytes and more. */
    static final int MAX_PIECES = 32 * 1024;

    private static final int INITIAL_BYTES = 1024;

    private final int mMaxBytes;
    private final int mMaxPieces;
    private final ByteBuf mBytes;
    private int mPieces;

    private BodyBuffer(ByteBuf bytes, int maxBytes, int maxPieces) {
        mBytes = bytes;
        mMaxBytes = maxBytes;
        mMaxPieces = maxPieces;
    }

    /** Returns an empty buffer for at most {@code maxBytes} of a response that is sent on. */
    static BodyBuffer pooled(int maxBytes) {
        return new BodyBuffer(pooledBytes(maxBytes), maxBytes, MAX_PIECES);
    }

    /** Returns an empty buffer for at most {@code maxBytes} of a request. */
    static BodyBuffer ofRequest(int maxBytes) {
        return new BodyBuffer(pooledBytes(maxBytes), maxBytes, Integer.MAX_VALUE);
    }

    private static ByteBuf pooledBytes(int maxBytes) {
        return ByteBufAllocator.DEFAULT.buffer(initialBytes(maxBytes), maxBytes);
    }

    /** Returns an empty buffer on the heap for at most {@code maxBytes} of a response. */
    static BodyBuffer onHeap(int maxBytes) {
        ByteBuf bytes = Unpooled.buffer(initialBytes(maxBytes), maxBytes);
        return new BodyBuffer(bytes, maxBytes, MAX_PIECES);
    }

    private static int initialBytes(int maxBytes) {
        checkArgument(maxBytes >= 0, "maxBytes is negative: %s", maxBytes);
        return Math.min(INITIAL_BYTES, maxBytes);
    }

    /**
     * Appends a piece, which stays with the caller.
     *
     * @return false if the body exceeds a limit; the piece is not appended then
     */
    boolean append(ByteBuf piece) {
        mPieces++;
        if (mPieces > mMaxPieces || piece.readableBytes() > mMaxBytes - mBytes.readableBytes()) {
            return false;
        }
        mBytes.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
        return true;
    }

    /** Returns the memory of the buffer, in bytes. */
    int capacity() {
        return mBytes.capacity();
    }

    /** Returns the body, which has this buffer's one reference. */
    ByteBuf bytes() {
        return mBytes;
    }

    /** Releases the body. */
    void release() {
        mBytes.release();
    }
}
