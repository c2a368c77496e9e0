package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Bodies of very short, very many or too large pieces. */
class BodyBufferTest {
    private static final int MAX_BYTES = 64 * 1024;

    /** Guards against keeping the buffer in which a short piece was received. */
    @Example
    void pieceIsCopied() {
        ByteBuf received = Unpooled.buffer(MAX_BYTES).writeZero(MAX_BYTES);
        BodyBuffer body = BodyBuffer.pooled(MAX_BYTES);
        assertThat(body.append(received.slice(0, 1))).isTrue();
        assertThat(received.refCnt()).isEqualTo(1);
        received.release();
        assertThat(body.bytes().readableBytes()).isEqualTo(1);
        assertThat(body.capacity()).isLessThan(MAX_BYTES / 8);
        body.release();
    }

    /** Guards against a body of short pieces that costs much more than its size. */
    @Example
    void capacityStaysWithinTwiceTheSize() {
        BodyBuffer body = BodyBuffer.onHeap(MAX_BYTES);
        ByteBuf piece = Unpooled.wrappedBuffer(new byte[3]);
        for (int i = 1; i <= MAX_BYTES / 3; i++) {
            assertThat(body.append(piece)).isTrue();
            assertThat(body.capacity()).isAtMost(Math.max(1024, 2 * 3 * i));
        }
        assertThat(body.append(piece)).isFalse();
        assertThat(body.bytes().readableBytes()).isAtMost(MAX_BYTES);
        body.release();
    }

    /** Guards against decoding short pieces without end. */
    @Example
    void piecesAreLimited() {
        BodyBuffer body = BodyBuffer.onHeap(MAX_BYTES);
        ByteBuf piece = Unpooled.wrappedBuffer(new byte[1]);
        for (int i = 0; i < BodyBuffer.MAX_PIECES; i++) {
            assertThat(body.append(piece)).isTrue();
        }
        assertThat(body.append(piece)).isFalse();
        body.release();
    }
}
