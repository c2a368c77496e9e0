package org.catkinproxy.gateway;

import org.catkinproxy.syntax.HttpSyntax;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;

import java.nio.charset.StandardCharsets;

/**
 * Parses the lines of a response, without their ends, as RFC 9112 has them.
 *
 * <p>A line that deviates is rejected and not corrected: a server that writes one is in trouble,
 * and another reader of the same bytes may see another response. That holds for what a proxy might
 * repair too, such as a folded field or a space before the colon. Stateless and thread-safe.
 */
final class ResponseSyntax {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int STATUS_DIGITS = 3;
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;

    /** Keeps the size of a chunk within a long. */
    private static final int MAX_CHUNK_SIZE_DIGITS = 15;

    private static final int HEX_RADIX = 16;

    private ResponseSyntax() {}

    /**
     * Parses a status line.
     *
     * @return a response with this status and without fields
     */
    static HttpResponse parseStatusLine(ByteBuf line) throws MalformedResponseException {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        int statusStart = VERSION_PREFIX.length() + 2;
        int statusEnd = statusStart + STATUS_DIGITS;
        if (text.length() < statusEnd
                || !text.startsWith(VERSION_PREFIX)
                || !HttpSyntax.isDigit(text.charAt(VERSION_PREFIX.length()))
                || text.charAt(statusStart - 1) != ' '
                || (text.length() > statusEnd && text.charAt(statusEnd) != ' ')) {
            throw new MalformedResponseException("invalid status line");
        }
        int status = parseStatus(text.substring(statusStart, statusEnd));
        String reason = text.length() > statusEnd ? text.substring(statusEnd + 1) : "";
        checkText(line, line.readerIndex(), line.readableBytes(), "status line");
        boolean isHttp10 = text.charAt(VERSION_PREFIX.length()) == '0';
        return new DefaultHttpResponse(
                isHttp10 ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status, reason),
                DefaultHttpHeadersFactory.headersFactory().withValidation(false));
    }

    private static int parseStatus(String digits) throws MalformedResponseException {
        if (!digits.chars().allMatch(HttpSyntax::isDigit)) {
            throw new MalformedResponseException("status is no number");
        }
        int status = Integer.parseInt(digits);
        if (!HttpSyntax.isStatus(status)) {
            throw new MalformedResponseException("status out of range: " + digits);
        }
        if (status == STATUS_SWITCHING_PROTOCOLS) {
            throw new MalformedResponseException("change of protocol that was not asked for");
        }
        return status;
    }

    /** Parses a field of a head or trailer and adds it to {@code headers}. */
    static void parseField(ByteBuf line, HttpHeaders headers) throws MalformedResponseException {
        int start = line.readerIndex();
        int colon = line.indexOf(start, line.writerIndex(), (byte) ':');
        if (colon <= start) {
            throw new MalformedResponseException("field without a name");
        }
        for (int i = start; i < colon; i++) {
            if (!HttpSyntax.isTokenCharacter(line.getByte(i))) {
                throw new MalformedResponseException(
                        "invalid byte in the name of a field: " + (line.getByte(i) & 0xff));
            }
        }
        int valueStart = colon + 1;
        int valueEnd = line.writerIndex();
        while (valueStart < valueEnd && isBlank(line.getByte(valueStart))) {
            valueStart++;
        }
        while (valueStart < valueEnd && isBlank(line.getByte(valueEnd - 1))) {
            valueEnd--;
        }
        checkText(line, valueStart, valueEnd - valueStart, "value of a field");
        byte[] name = ByteBufUtil.getBytes(line, start, colon - start);
        String value =
                line.toString(valueStart, valueEnd - valueStart, StandardCharsets.ISO_8859_1);
        headers.add(new AsciiString(name, false), value);
    }

    /** Parses the line before a chunk and returns the chunk's size in bytes. */
    static long parseChunkSize(ByteBuf line) throws MalformedResponseException {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        int digits = 0;
        while (digits < text.length() && Character.digit(text.charAt(digits), HEX_RADIX) >= 0) {
            digits++;
        }
        if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS) {
            throw new MalformedResponseException("invalid size of a chunk");
        }
        String extensions = text.substring(digits).stripLeading();
        if (digits < text.length() && !extensions.startsWith(";")) {
            throw new MalformedResponseException("invalid line with the size of a chunk");
        }
        checkText(line, line.readerIndex(), line.readableBytes(), "extension of a chunk");
        return Long.parseLong(text.substring(0, digits), HEX_RADIX);
    }

    /** Checks that bytes are printable, blanks or beyond ASCII. */
    private static void checkText(ByteBuf line, int start, int length, String name)
            throws MalformedResponseException {
        int control = line.forEachByte(start, length, b -> !HttpSyntax.isControl(b));
        if (control >= 0) {
            throw new MalformedResponseException("control byte in the " + name);
        }
    }

    private static boolean isBlank(byte b) {
        return b == ' ' || b == '\t';
    }
}
