package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits a server-sent event stream after complete events, so that no truncated event is forwarded.
 *
 * <p>The ids of the events must increase, also across the attempts that deliver one stream. {@link
 * #lastEventId} is the id of the last event that was returned, so a stream that resumes after it
 * has no gap. Used by the event loop only.
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
     * What a piece adds to the stream.
     *
     * @param events the events that are now complete, possibly none; the receiver releases them
     * @param fault why the stream cannot go on after these events, empty if it can
     */
    record Split(ByteBuf events, Optional<String> fault) {}

    /** An event that violates the format of the stream. */
    private static final class InvalidEventException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidEventException(String message) {
            super(message);
        }
    }

    /**
     * Appends a piece of the stream, takes over its ownership and returns the events that are now
     * complete. An event whose id does not increase, or that is too large, is a fault: it is
     * dropped together with all that follows it in the piece.
     */
    Split split(ByteBuf piece) {
        int scannedBytes = mPartialEvent.readableBytes();
        ByteBuf buffer = appendToPartialEvent(piece);
        int end = endOfLastEvent(buffer, Math.max(0, scannedBytes - 1));
        if (end == buffer.readerIndex()) {
            keepPartialEvent(buffer, piece);
            return new Split(Unpooled.EMPTY_BUFFER, checkPartialEvent());
        }
        int validEnd = buffer.readerIndex();
        try {
            while (validEnd < end) {
                validEnd = readEvent(buffer, validEnd);
            }
        } catch (InvalidEventException e) {
            return new Split(
                    takeUntil(buffer, validEnd, buffer.writerIndex()), Optional.of(e.getMessage()));
        }
        return new Split(takeUntil(buffer, end, end), checkPartialEvent());
    }

    /**
     * Returns the bytes of {@code buffer} up to {@code end} and keeps those from {@code next} on.
     * The events are copied: they may wait for a slow caller, and a slice of the received buffer
     * would keep all of it in memory.
     */
    private ByteBuf takeUntil(ByteBuf buffer, int end, int next) {
        int length = end - buffer.readerIndex();
        ByteBuf events = ByteBufAllocator.DEFAULT.buffer(length).writeBytes(buffer, length);
        buffer.readerIndex(next);
        keepPartialEvent(buffer, buffer);
        return events;
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

    private Optional<String> checkPartialEvent() {
        return mPartialEvent.readableBytes() > MAX_EVENT_BYTES
                ? Optional.of("event exceeds " + MAX_EVENT_BYTES + " bytes")
                : Optional.empty();
    }

    /** Returns the size of the incomplete event that is buffered. */
    int partialEventBytes() {
        return mPartialEvent.readableBytes();
    }

    /** Returns the id of the last event that was returned, empty before the first. */
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

    /**
     * Reads the event that begins at index {@code at} and returns the index after it. Nothing is
     * recorded of an invalid event.
     */
    private int readEvent(ByteBuf events, int at) throws InvalidEventException {
        long id = mLastEventId;
        boolean weightsVersionChanged = false;
        int lineAt = at;
        int lineEnd = endOfLine(events, lineAt);
        while (lineEnd > lineAt) {
            weightsVersionChanged |= startsWith(events, lineAt, lineEnd, mWeightsVersionField);
            if (startsWith(events, lineAt, lineEnd, ID_FIELD)) {
                String line = events.toString(lineAt, lineEnd - lineAt, StandardCharsets.US_ASCII);
                id = readId(line, id);
            }
            lineAt = lineEnd + 1;
            lineEnd = endOfLine(events, lineAt);
        }
        mLastEventId = id;
        mWeightsVersionChanged |= weightsVersionChanged;
        return lineEnd + 1;
    }

    private static int endOfLine(ByteBuf events, int at) {
        return events.indexOf(at, events.writerIndex(), (byte) '\n');
    }

    private static boolean startsWith(ByteBuf events, int at, int end, byte[] field) {
        return end - at > field.length
                && ByteBufUtil.equals(events, at, Unpooled.wrappedBuffer(field), 0, field.length);
    }

    private static long readId(String line, long previousId) throws InvalidEventException {
        long id;
        try {
            id = Long.parseLong(line.substring(ID_FIELD.length).trim());
        } catch (NumberFormatException e) {
            throw new InvalidEventException("event id is not a number: " + line);
        }
        if (id <= previousId) {
            throw new InvalidEventException(
                    "event id " + id + " does not exceed the previous id " + previousId);
        }
        return id;
    }
}
