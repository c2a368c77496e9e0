package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;

import java.util.List;

/**
 * What ends the body of a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param length the length of the body in bytes, 0 unless the end is {@code LENGTH}
 */
record ResponseFraming(End end, long length) {
    /** Keeps a length within a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /** The kinds of ends. */
    enum End {
        /** There is no body. */
        HEAD,
        /** The body has a length. */
        LENGTH,
        /** The body comes in chunks, of which the last is empty. */
        LAST_CHUNK,
        /** The body has neither a length nor chunks and ends with the connection. */
        CONNECTION
    }

    /** Checks that the length is not negative. */
    ResponseFraming {
        checkArgument(length >= 0, "negative length: %s", length);
    }

    /**
     * Returns the framing of a response.
     *
     * @param toHeadRequest whether it responds to a HEAD request
     * @throws MalformedResponseException if its fields contradict each other, or if its body has a
     *     coding that nobody asked for
     */
    static ResponseFraming of(HttpResponse response, boolean toHeadRequest)
            throws MalformedResponseException {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = response.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        checkCodings(response, codings);
        if (lengths.size() + codings.size() > 1) {
            throw new MalformedResponseException("body with more than one length or coding");
        }
        long length = lengths.isEmpty() ? 0 : parseLength(lengths.get(0));
        if (toHeadRequest || hasNoBody(response.status())) {
            return new ResponseFraming(End.HEAD, 0);
        }
        if (!codings.isEmpty()) {
            return new ResponseFraming(End.LAST_CHUNK, 0);
        }
        return new ResponseFraming(lengths.isEmpty() ? End.CONNECTION : End.LENGTH, length);
    }

    private static void checkCodings(HttpResponse response, List<String> codings)
            throws MalformedResponseException {
        if (codings.isEmpty()) {
            return;
        }
        if (response.protocolVersion().equals(HttpVersion.HTTP_1_0)
                || !AsciiString.contentEqualsIgnoreCase(codings.get(0), HttpHeaderValues.CHUNKED)) {
            throw new MalformedResponseException("unexpected transfer coding");
        }
    }

    private static long parseLength(String text) throws MalformedResponseException {
        boolean isNumber = !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!isNumber || text.length() > MAX_LENGTH_DIGITS) {
            throw new MalformedResponseException("invalid length of the body");
        }
        return Long.parseLong(text);
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.codeClass() == HttpStatusClass.INFORMATIONAL
                || status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
