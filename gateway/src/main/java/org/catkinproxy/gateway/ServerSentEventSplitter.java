package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream after complete events, so that no truncated event is forwarded.
 *
 * <p>The ids of the events must increase, also across the attempts that deliver one stream. Used by
 * the event loop only.
 */
final class ServerSentEventSplitter {
    /** Limit for one event; an event holds the text of a few tokens. */
    private static final int MAX_EVENT_BYTES = 256 * 1024;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private final byte[] mWeightsVersionField;
    private ByteBuf mPartialEvent = Unpooled.EMPTY_BUFFER;
    private long mLastEventId = Long.MIN_VALUE;
    private boolean mWeightsVersionChanged;

    /**
     * Creates a splitter at the start of a stream.
     *
     * @param weightsVersionField the name of the event field that announces a change of weights
     */
    ServerSentEventSplitter(String weightsVersionField) {
        mWeightsVersionField = (weightsVersionField + ":").getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Appends a piece of the stream, takes over its ownership and returns the events that are now
     * complete, possibly none.
     *
     * @throws IllegalArgumentException if the ids of the events do not increase, or an event is too
     *     large
     */
    ByteBuf split(ByteBuf piece) {
        int scannedBytes = mPartialEvent.readableBytes();
        ByteBuf buffer = appendToPartialEvent(piece);
        int end = endOfLastEvent(buffer, Math.max(0, scannedBytes - 1));
        if (end == buffer.readerIndex()) {
            keepPartialEvent(buffer, piece);
            checkPartialEvent();
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf complete = buffer.readRetainedSlice(end - buffer.readerIndex());
        keepPartialEvent(buffer, buffer);
        try {
            readIds(complete);
            checkPartialEvent();
        } catch (IllegalArgumentException e) {
            complete.release();
            throw e;
        }
        return complete;
    }

    private ByteBuf appendToPartialEvent(ByteBuf piece) {
        if (!hasPartialEvent()) {
            return piece;
        }
        ByteBuf buffer = mPartialEvent.writeBytes(piece);
        piece.release();
        mPartialEvent = Unpooled.EMPTY_BUFFER;
        return buffer;
    }

    /**
     * Keeps the rest of {@code buffer}. It is copied if the buffer is the {@code received} one,
     * which would keep a larger buffer in memory.
     */
    private void keepPartialEvent(ByteBuf buffer, ByteBuf received) {
        if (buffer != received) {
            mPartialEvent = buffer;
            return;
        }
        if (buffer.isReadable()) {
            mPartialEvent = Unpooled.buffer(buffer.readableBytes()).writeBytes(buffer);
        }
        buffer.release();
    }

    private void checkPartialEvent() {
        if (mPartialEvent.readableBytes() > MAX_EVENT_BYTES) {
            throw new IllegalArgumentException("event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
    }

    /** Returns the size of the incomplete event that is buffered. */
    int partialEventBytes() {
        return mPartialEvent.readableBytes();
    }

    /** Returns the id of the last complete event, empty before the first. */
    OptionalLong lastEventId() {
        return mLastEventId == Long.MIN_VALUE
                ? OptionalLong.empty()
                : OptionalLong.of(mLastEventId);
    }

    /** Returns whether the engine's weights have changed during the stream. */
    boolean hasWeightsVersionChanged() {
        return mWeightsVersionChanged;
    }

    /** Returns whether the stream received so far ends within an event. */
    boolean hasPartialEvent() {
        return mPartialEvent.isReadable();
    }

    /** Discards an incomplete event, so that the stream can resume after the last complete one. */
    void discardPartialEvent() {
        if (mPartialEvent.isReadable()) {
            mPartialEvent.release();
        }
        mPartialEvent = Unpooled.EMPTY_BUFFER;
    }

    /**
     * Returns the index after the last complete event, or the reader index if there is none.
     *
     * @param skippedBytes the bytes at the beginning that were already found to hold no end
     */
    private static int endOfLastEvent(ByteBuf bytes, int skippedBytes) {
        int from = bytes.readerIndex() + skippedBytes;
        for (int i = bytes.writerIndex() - 1; i > from; i--) {
            if (bytes.getByte(i) == '\n' && bytes.getByte(i - 1) == '\n') {
                return i + 1;
            }
        }
        return bytes.readerIndex();
    }

    private void readIds(ByteBuf events) {
        int at = events.readerIndex();
        while (at < events.writerIndex()) {
            int end = events.indexOf(at, events.writerIndex(), (byte) '\n');
            mWeightsVersionChanged |= startsWith(events, at, end, mWeightsVersionField);
            if (startsWith(events, at, end, ID_FIELD)) {
                readId(events.toString(at, end - at, StandardCharsets.US_ASCII));
            }
            at = end + 1;
        }
    }

    private static boolean startsWith(ByteBuf events, int at, int end, byte[] field) {
        return end - at > field.length
                && ByteBufUtil.equals(events, at, Unpooled.wrappedBuffer(field), 0, field.length);
    }

    private void readId(String line) {
        long id;
        try {
            id = Long.parseLong(line.substring(ID_FIELD.length).trim());
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("event id is not a number: " + line, e);
        }
        if (id <= mLastEventId) {
            throw new IllegalArgumentException(
                    "event id " + id + " does not exceed the previous id " + mLastEventId);
        }
        mLastEventId = id;
    }
}
