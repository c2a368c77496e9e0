package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import java.util.List;

/**
 * Decodes the responses of one connection to a server, which carries one request at a time.
 *
 * <p>A response is passed on as a head, pieces of its body, and a last content. Bytes that deviate
 * from the protocol are not corrected: they yield one last content with a failed decoder result,
 * and what follows them is discarded. Trailers are checked and dropped.
 *
 * <p>Bytes that arrive while no request is open belong to no request. They close the connection
 * before they are decoded, even if they are only the beginning of a message, so that the next
 * request on the connection cannot receive them. Used by the event loop only.
 */
final class StrictResponseDecoder extends ByteToMessageDecoder {
    private static final int MAX_LINE_BYTES = 8 * 1024;

    /** Limit for a head; the objects of one with short lines need many times its size. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Limit for the pieces in which a body is passed on. */
    private static final int MAX_PIECE_BYTES = 64 * 1024;

    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';

    /** What the decoder tells the handlers after it, as user events. */
    enum Notice {
        /** Data has arrived while no request was open, and closes the connection. */
        DATA_WITHOUT_REQUEST
    }

    /** What the next bytes are. */
    private enum State {
        STATUS_LINE,
        FIELDS,
        BODY_WITH_LENGTH,
        BODY_TO_CONNECTION_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        MALFORMED
    }

    private boolean mRequestOpen;
    private boolean mHeadRequest;
    private boolean mRequestHasBody;
    private State mState = State.STATUS_LINE;
    private HttpResponse mHead;

    private boolean mEndsWithConnection;

    /** The bytes of the current head, or of the current trailers. */
    private int mHeadBytes;

    /** The bytes that are left of the body or of the current chunk. */
    private long mBytesLeft;

    StrictResponseDecoder() {
        setCumulator(StrictResponseDecoder::join);
    }

    /**
     * Joins the bytes that are not decoded yet with those that have just arrived.
     *
     * <p>The usual cumulators append to a buffer that keeps what was decoded and never shrinks as
     * long as data ends in the middle of a line. What is not decoded yet is a line at most, so
     * copying it costs little.
     */
    private static ByteBuf join(ByteBufAllocator allocator, ByteBuf undecoded, ByteBuf arrived) {
        if (!arrived.isReadable()) {
            arrived.release();
            return undecoded;
        }
        if (!undecoded.isReadable()) {
            undecoded.release();
            return arrived;
        }
        try {
            ByteBuf joined = allocator.buffer(undecoded.readableBytes() + arrived.readableBytes());
            joined.writeBytes(undecoded).writeBytes(arrived);
            undecoded.release();
            return joined;
        } finally {
            arrived.release();
        }
    }

    /** Starts to accept the response to a request of the given method. */
    void onRequestSent(HttpMethod method, boolean hasBody) {
        mRequestOpen = true;
        mHeadRequest = method.equals(HttpMethod.HEAD);
        mRequestHasBody = hasBody;
    }

    /**
     * Stops to accept data after a complete response.
     *
     * @return whether further bytes have arrived after the response
     */
    boolean onResponseEnd() {
        mRequestOpen = false;
        return actualReadableBytes() > 0;
    }

    /** Returns whether the last response's body has no length and ends with the connection. */
    boolean endsWithConnection() {
        return mEndsWithConnection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!mRequestOpen) {
            ReferenceCountUtil.release(message);
            context.fireUserEventTriggered(Notice.DATA_WITHOUT_REQUEST);
            context.close();
            return;
        }
        super.channelRead(context, message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (!mRequestOpen) {
            // The end of the last response has shown that these bytes are left.
            in.skipBytes(in.readableBytes());
            return;
        }
        try {
            decodeNext(context, in, out);
        } catch (MalformedResponseException e) {
            mState = State.MALFORMED;
            in.skipBytes(in.readableBytes());
            LastHttpContent malformed = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            malformed.setDecoderResult(DecoderResult.failure(e));
            out.add(malformed);
        }
    }

    private void decodeNext(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws MalformedResponseException {
        switch (mState) {
            case STATUS_LINE -> decodeStatusLine(in);
            case FIELDS -> decodeFields(context, in, out);
            case BODY_WITH_LENGTH -> decodeBody(in, out);
            case BODY_TO_CONNECTION_END -> out.add(new DefaultHttpContent(readPiece(in)));
            case CHUNK_SIZE -> decodeChunkSize(in);
            case CHUNK -> decodeChunk(in, out);
            case CHUNK_END -> decodeChunkEnd(in);
            case TRAILERS -> decodeTrailers(in, out);
            case MALFORMED -> in.skipBytes(in.readableBytes());
            default -> throw new IllegalStateException("unknown state: " + mState);
        }
    }

    private void decodeStatusLine(ByteBuf in) throws MalformedResponseException {
        mHeadBytes = 0;
        ByteBuf line = readLine(in);
        if (line != null) {
            mHead = ResponseSyntax.parseStatusLine(line);
            mState = State.FIELDS;
        }
    }

    private void decodeFields(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws MalformedResponseException {
        ByteBuf line = readLine(in);
        while (line != null && line.isReadable()) {
            ResponseSyntax.parseField(line, mHead.headers());
            line = readLine(in);
        }
        if (line != null) {
            startBody(context, ResponseFraming.of(mHead, mHeadRequest), out);
        }
    }

    private void startBody(
            ChannelHandlerContext context, ResponseFraming framing, List<Object> out) {
        out.add(mHead);
        mHead = null;
        mBytesLeft = framing.length();
        mEndsWithConnection = framing.end() == ResponseFraming.End.CONNECTION;
        switch (framing.end()) {
            case HEAD -> endResponse(out);
            case LENGTH -> mState = State.BODY_WITH_LENGTH;
            case LAST_CHUNK -> mState = State.CHUNK_SIZE;
            case CONNECTION -> {
                mState = State.BODY_TO_CONNECTION_END;
                expectResetAfterEnd(context);
            }
            default -> throw new IllegalStateException("unknown framing: " + framing);
        }
        if (mState == State.BODY_WITH_LENGTH && mBytesLeft == 0) {
            endResponse(out);
        }
    }

    /** Lets {@link ConnectionEndHandler} look for a reset that tells that the body is cut short. */
    private void expectResetAfterEnd(ChannelHandlerContext context) {
        if (mRequestHasBody) {
            context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }
    }

    private void endResponse(List<Object> out) {
        mState = State.STATUS_LINE;
        out.add(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private void decodeBody(ByteBuf in, List<Object> out) {
        ByteBuf piece = readPiece(in);
        if (mBytesLeft > 0) {
            out.add(new DefaultHttpContent(piece));
        } else {
            mState = State.STATUS_LINE;
            out.add(new DefaultLastHttpContent(piece));
        }
    }

    /** Returns the next bytes of the body. */
    private ByteBuf readPiece(ByteBuf in) {
        int length = Math.min(in.readableBytes(), MAX_PIECE_BYTES);
        if (mState != State.BODY_TO_CONNECTION_END) {
            length = (int) Math.min(length, mBytesLeft);
            mBytesLeft -= length;
        }
        return in.readRetainedSlice(length);
    }

    private void decodeChunkSize(ByteBuf in) throws MalformedResponseException {
        mHeadBytes = 0;
        ByteBuf line = readLine(in);
        if (line != null) {
            mBytesLeft = ResponseSyntax.parseChunkSize(line);
            mState = mBytesLeft == 0 ? State.TRAILERS : State.CHUNK;
        }
    }

    private void decodeChunk(ByteBuf in, List<Object> out) {
        out.add(new DefaultHttpContent(readPiece(in)));
        if (mBytesLeft == 0) {
            mState = State.CHUNK_END;
        }
    }

    private void decodeChunkEnd(ByteBuf in) throws MalformedResponseException {
        ByteBuf line = readLine(in);
        if (line == null) {
            return;
        }
        if (line.isReadable()) {
            throw new MalformedResponseException("chunk is longer than its size");
        }
        mState = State.CHUNK_SIZE;
    }

    private void decodeTrailers(ByteBuf in, List<Object> out) throws MalformedResponseException {
        ByteBuf line = readLine(in);
        while (line != null && line.isReadable()) {
            ResponseSyntax.parseField(line, new DefaultHttpHeaders(false));
            line = readLine(in);
        }
        if (line != null) {
            endResponse(out);
        }
    }

    /** Returns the next line without its end, or null if it has not arrived completely. */
    private ByteBuf readLine(ByteBuf in) throws MalformedResponseException {
        int length = in.bytesBefore(LINE_FEED);
        int arrived = length < 0 ? in.readableBytes() : length;
        if (arrived > MAX_LINE_BYTES || mHeadBytes + arrived > MAX_HEAD_BYTES) {
            throw new MalformedResponseException("line or head is too long");
        }
        if (length < 0) {
            return null;
        }
        if (length == 0 || in.getByte(in.readerIndex() + length - 1) != CARRIAGE_RETURN) {
            throw new MalformedResponseException("line does not end with CR LF");
        }
        mHeadBytes += length + 1;
        ByteBuf line = in.readSlice(length - 1);
        in.skipBytes(2);
        return line;
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        super.decodeLast(context, in, out);
        if (mState == State.BODY_TO_CONNECTION_END) {
            endResponse(out);
        }
    }
}
