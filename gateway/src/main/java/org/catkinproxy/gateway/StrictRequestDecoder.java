package org.catkinproxy.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

import java.util.List;

/**
 * Decodes requests and rejects those with an ambiguous body length.
 *
 * <p>Such requests, with both a length and chunks or with an unknown transfer encoding, allow
 * request smuggling: another server might find other request boundaries in them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    private boolean mWithinRequest;
    private long mLastInputAt;

    StrictRequestDecoder(int maxHeadBytes) {
        super(maxHeadBytes, maxHeadBytes, MAX_CHUNK_BYTES);
    }

    /** Returns whether at least a part of a request has arrived that was not passed on whole. */
    boolean isWithinRequest() {
        return mWithinRequest || hasUndecodedInput();
    }

    private boolean hasUndecodedInput() {
        return actualReadableBytes() > 0 && internalBuffer().forEachByte(b -> b <= ' ') >= 0;
    }

    /** Returns when input arrived last, in ns of the monotonic clock. */
    long lastInputAt() {
        return mLastInputAt;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        mWithinRequest |= in.forEachByte(b -> b <= ' ') >= 0;
        mLastInputAt = System.nanoTime();
        super.decode(context, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            mWithinRequest = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "request has both Content-Length and Transfer-Encoding: chunked");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean supported = encodings.isEmpty() || isChunked(encodings);
        if (!supported) {
            throw new IllegalArgumentException("transfer encoding is not supported");
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static boolean isChunked(List<String> encodings) {
        return encodings.size() == 1 && encodings.get(0).trim().equalsIgnoreCase("chunked");
    }
}
