package org.catkinproxy.http;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Ticker;

import net.jqwik.api.Example;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Responses that callers read slowly, or not at all. */
class UnwrittenResponsesTest {
    private final AtomicLong mNow = new AtomicLong();
    private final UnwrittenResponses mUnwritten =
            new UnwrittenResponses(
                    new Ticker() {
                        @Override
                        public long read() {
                            return mNow.get();
                        }
                    });
    private final EmbeddedChannel mChannel = new EmbeddedChannel(mUnwritten);

    private void write() {
        mChannel.write(Unpooled.copiedBuffer("a", StandardCharsets.US_ASCII));
    }

    @Example
    void responseCountsUntilItIsWritten() {
        write();
        assertThat(mUnwritten.count()).isEqualTo(1);
        mChannel.flush();
        assertThat(mUnwritten.count()).isEqualTo(0);
    }

    @Example
    void responseOfClosedConnectionDoesNotCount() {
        write();
        mChannel.close();
        assertThat(mUnwritten.count()).isEqualTo(0);
    }

    /** Guards against a stop that waits for good for a caller who does not read. */
    @Example
    void responseThatDoesNotGetOnDoesNotCount() {
        write();
        mNow.addAndGet(TimeUnit.SECONDS.toNanos(9));
        assertThat(mUnwritten.count()).isEqualTo(1);
        mNow.addAndGet(TimeUnit.SECONDS.toNanos(2));
        assertThat(mUnwritten.count()).isEqualTo(0);
    }
}
