package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Tests which bytes are a response, and that others are rejected and not corrected. */
class StrictResponseDecoderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n";
    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static final List<String> SOUND_RESPONSES =
            List.of(
                    HEAD + "\r\nok",
                    HEAD + "X-Text: a b\t\u00e9 \r\nX-Empty:\r\nx!#$%&'*+-.^_`|~9: 1\r\n\r\nok",
                    "HTTP/1.0 599 \r\nContent-Length: 2\r\n\r\nok",
                    "HTTP/1.1 200\r\ncontent-length:2\r\n\r\nok",
                    CHUNKED_HEAD + "2\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "0002;a=b\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n",
                    CHUNKED_HEAD + "1 ; a\r\no\r\n1\r\nk\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + HEAD + "\r\nok");

    private static final List<String> MALFORMED_RESPONSES =
            List.of(
                    // Status lines.
                    "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
                    "HTTP/1.1 099 Odd\r\n\r\n",
                    "HTTP/1.1 20 Odd\r\n\r\n",
                    "HTTP/1.1 600 Odd\r\n\r\n",
                    "HTTP/1.1 999 Odd\r\n\r\n",
                    "HTTP/1.1 1000 Odd\r\n\r\n",
                    "HTTP/1.1 2x0 Odd\r\n\r\n",
                    "HTTP/1.1 -20 Odd\r\n\r\n",
                    "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
                    "HTTP/1.1  200 OK\r\n\r\n",
                    "HTTP/1.1\t200 OK\r\n\r\n",
                    "HTTP/1.1 200\tOK\r\n\r\n",
                    "HTTP/1.1 200 O\u0001K\r\n\r\n",
                    "HTTP/1.1\r\n\r\n",
                    "HTTP/2.0 200 OK\r\n\r\n",
                    "HTTP/9.9 200 OK\r\n\r\n",
                    "http/1.1 200 OK\r\n\r\n",
                    " HTTP/1.1 200 OK\r\n\r\n",
                    "\r\nHTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\n\n",
                    // Fields.
                    HEAD + "X Bad: 1\r\n\r\nok",
                    HEAD + "X-Bad : 1\r\n\r\nok",
                    HEAD + "X-Bad\t: 1\r\n\r\nok",
                    HEAD + " X-Bad: 1\r\n\r\nok",
                    HEAD + "X\u0000Bad: 1\r\n\r\nok",
                    HEAD + "X\u007fBad: 1\r\n\r\nok",
                    HEAD + "X\u00e9Bad: 1\r\n\r\nok",
                    HEAD + "X(Bad): 1\r\n\r\nok",
                    HEAD + ": 1\r\n\r\nok",
                    HEAD + "X-Bad\r\n\r\nok",
                    HEAD + "X-Bad: 1\r\n folded\r\n\r\nok",
                    HEAD + "X-Bad: 1\u0000\r\n\r\nok",
                    HEAD + "X-Bad: 1\r2\r\n\r\nok",
                    HEAD + "X-Bad: 1\n\r\nok",
                    // Framing.
                    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nokay",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
                    HEAD + "Content-Length: 2\r\n\r\nok",
                    HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: 1 2\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nContent-Length: 9999999999999999999\r\n\r\nok",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: other\r\n\r\nok",
                    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    // Chunks and trailers.
                    CHUNKED_HEAD + "\r\nok",
                    CHUNKED_HEAD + "+2\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "0x2\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + " 2\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "2 x\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "2\u0000\r\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "2\nok\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "2\r\nokay\r\n0\r\n\r\n",
                    CHUNKED_HEAD + "2\r\nok0\r\n\r\n",
                    CHUNKED_HEAD + "1234567890abcdef1\r\nok",
                    CHUNKED_HEAD + "0\r\nX Bad: 1\r\n\r\n",
                    // Interim responses.
                    "HTTP/1.1 103 Early\r\nX Bad: 1\r\n\r\n" + HEAD + "\r\nok",
                    "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n");

    /** A channel with the decoder under test, and what it has decoded. */
    private static final class Decoding {
        private final StrictResponseDecoder mDecoder = new StrictResponseDecoder();
        private final EmbeddedChannel mChannel = new EmbeddedChannel(mDecoder);
        private final StringBuilder mBody = new StringBuilder();
        private int mStatus;
        private boolean mComplete;
        private boolean mMalformed;

        Decoding() {
            mDecoder.onRequestSent(HttpMethod.GET, false);
        }

        void write(String text) {
            mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            collect();
        }

        void end() {
            mChannel.finish();
            collect();
        }

        private void collect() {
            HttpObject message = mChannel.readInbound();
            while (message != null) {
                collect(message);
                ReferenceCountUtil.release(message);
                message = mChannel.readInbound();
            }
        }

        private void collect(HttpObject message) {
            mMalformed |= message.decoderResult().isFailure();
            if (message instanceof HttpResponse head) {
                mStatus = head.status().code();
            }
            if (message instanceof HttpContent content) {
                mBody.append(content.content().toString(StandardCharsets.ISO_8859_1));
                mComplete |= message instanceof LastHttpContent && mStatus >= 200;
            }
        }
    }

    @Provide
    Arbitrary<String> soundResponses() {
        return Arbitraries.of(SOUND_RESPONSES);
    }

    @Provide
    Arbitrary<String> malformedResponses() {
        return Arbitraries.of(MALFORMED_RESPONSES);
    }

    @Property
    void soundResponseIsDecodedHoweverItArrives(
            @ForAll("soundResponses") String response, @ForAll int split) {
        Decoding decoding = new Decoding();
        writeInParts(decoding, response, split);
        assertThat(decoding.mMalformed).isFalse();
        assertThat(decoding.mComplete).isTrue();
        assertThat(decoding.mBody.toString()).isEqualTo("ok");
    }

    /** Guards against an answer to a caller that an upstream in trouble did not give. */
    @Property
    void malformedResponseIsRejectedHoweverItArrives(
            @ForAll("malformedResponses") String response, @ForAll int split) {
        Decoding decoding = new Decoding();
        writeInParts(decoding, response, split);
        decoding.end();
        assertThat(decoding.mMalformed).isTrue();
    }

    @Example
    void eachMalformedResponseIsRejected() {
        for (String response : MALFORMED_RESPONSES) {
            Decoding decoding = new Decoding();
            decoding.write(response);
            decoding.end();
            assertWithMessage(response).that(decoding.mMalformed).isTrue();
        }
    }

    /** Writes the text byte by byte, or in two parts. */
    private static void writeInParts(Decoding decoding, String text, int split) {
        if (split % 3 == 0) {
            text.chars().forEach(c -> decoding.write(Character.toString(c)));
            return;
        }
        int end = Math.floorMod(split, text.length() + 1);
        decoding.write(text.substring(0, end));
        if (end < text.length()) {
            decoding.write(text.substring(end));
        }
    }

    @Example
    void bodyWithoutFramingEndsWithTheConnection() {
        Decoding decoding = new Decoding();
        decoding.write("HTTP/1.1 200 OK\r\n\r\nok");
        assertThat(decoding.mComplete).isFalse();
        assertThat(decoding.mDecoder.endsWithConnection()).isTrue();

        decoding.end();
        assertThat(decoding.mComplete).isTrue();
        assertThat(decoding.mBody.toString()).isEqualTo("ok");
    }

    @Example
    void bodyThatEndsBeforeItsLengthIsIncomplete() {
        Decoding decoding = new Decoding();
        decoding.write(HEAD + "\r\no");
        decoding.end();
        assertThat(decoding.mComplete).isFalse();
    }

    @Example
    void responseToHeadRequestHasNoBody() {
        Decoding decoding = new Decoding();
        decoding.mDecoder.onRequestSent(HttpMethod.HEAD, false);
        decoding.write(HEAD + "\r\n");
        assertThat(decoding.mComplete).isTrue();
    }

    @Example
    void someStatusesHaveNoBody() {
        for (String status : List.of("204 No Content", "304 Not Modified")) {
            Decoding decoding = new Decoding();
            decoding.write("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n");
            assertWithMessage(status).that(decoding.mComplete).isTrue();
            assertWithMessage(status).that(decoding.mBody.toString()).isEmpty();
        }
    }

    @Example
    void lineWithoutEndIsRejected() {
        Decoding decoding = new Decoding();
        decoding.write(HEAD + "X-Long: ");
        for (int i = 0; i < 900 && !decoding.mMalformed; i++) {
            decoding.write("1234567890");
        }
        assertThat(decoding.mMalformed).isTrue();
    }

    @Example
    void bytesAfterTheResponseAreReported() {
        StrictResponseDecoder decoder = new StrictResponseDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.onRequestSent(HttpMethod.GET, false);
        channel.writeInbound(Unpooled.copiedBuffer(HEAD + "\r\nok", StandardCharsets.ISO_8859_1));
        assertThat(decoder.onResponseEnd()).isFalse();
        channel.writeInbound(Unpooled.copiedBuffer("x", StandardCharsets.ISO_8859_1));
        assertThat(channel.isOpen()).isFalse();
    }

    @Example
    void headWithoutEndIsRejected() {
        Decoding decoding = new Decoding();
        decoding.write(HEAD);
        for (int i = 0; i < 2_000 && !decoding.mMalformed; i++) {
            decoding.write("X-Field: 1234567890\r\n");
        }
        assertThat(decoding.mMalformed).isTrue();
    }
}
