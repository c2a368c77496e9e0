package org.catkinproxy.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

import java.util.List;

/**
 * Reads requests and refuses those whose length is said in two ways or in an unknown one, since
 * another reader might find another request in them.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;

    StrictRequestDecoder(int maxHeadBytes) {
        super(maxHeadBytes, maxHeadBytes, MAX_CHUNK_BYTES);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        List<String> encodings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean plain = encodings.isEmpty() || isChunked(encodings);
        if (!plain) {
            throw new IllegalArgumentException("transfer encoding is not known");
        }
        return super.isContentAlwaysEmpty(message);
    }

    private static boolean isChunked(List<String> encodings) {
        return encodings.size() == 1 && encodings.get(0).trim().equalsIgnoreCase("chunked");
    }
}
