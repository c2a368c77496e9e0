package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import io.netty.buffer.Unpooled;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Splits streams that arrive in pieces of any length, within lines and events too. */
class ServerSentEventSplitterTest {
    private ServerSentEventSplitter mSplitter = new ServerSentEventSplitter("weights");

    private String split(String piece) {
        return splitUpToFault(piece).events().toString(StandardCharsets.US_ASCII);
    }

    private ServerSentEventSplitter.Split splitUpToFault(String piece) {
        return mSplitter.split(Unpooled.copiedBuffer(piece, StandardCharsets.US_ASCII));
    }

    @Property
    void piecesOfAnyLengthYieldWholeEventsInOrder(
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 9) Integer> lengths) {
        String stream = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 7\ndata: ccc\n\nid: 8\nda";
        mSplitter = new ServerSentEventSplitter("weights");
        StringBuilder forwarded = new StringBuilder();
        int at = 0;
        for (int i = 0; at < stream.length(); i++) {
            int end = Math.min(stream.length(), at + lengths.get(i % lengths.size()));
            String complete = split(stream.substring(at, end));
            assertThat(complete.isEmpty() || complete.endsWith("\n\n")).isTrue();
            forwarded.append(complete);
            at = end;
        }
        assertThat(forwarded.toString()).isEqualTo(stream.substring(0, stream.indexOf("id: 8")));
        assertThat(mSplitter.lastEventId().getAsLong()).isEqualTo(7);
        assertThat(mSplitter.hasPartialEvent()).isTrue();
    }

    @Example
    void repeatedEventIdIsRejected() {
        split("id: 3\n\n");
        ServerSentEventSplitter.Split split = splitUpToFault("id: 3\n\n");
        assertThat(split.fault().get()).contains("3");
        assertThat(split.events().isReadable()).isFalse();
    }

    /** Guards against resuming after an event that arrived whole but was never passed on. */
    @Example
    void eventsBeforeSpoiledOneAreKept() {
        for (String spoiled : List.of("id: #3\ndata: c\n\n", "id: 2\ndata: c\n\n")) {
            mSplitter = new ServerSentEventSplitter("weights");
            String sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            ServerSentEventSplitter.Split split =
                    splitUpToFault(sound + spoiled + "id: 4\ndata: d\n\n");
            assertThat(split.events().toString(StandardCharsets.US_ASCII)).isEqualTo(sound);
            assertThat(split.fault().isPresent()).isTrue();
            assertThat(mSplitter.lastEventId().getAsLong()).isEqualTo(2);
            assertThat(mSplitter.hasPartialEvent()).isFalse();
        }
    }

    /** Guards against dropping the whole events that arrive with the start of an endless one. */
    @Example
    void eventsBeforeOversizedOneAreKept() {
        String sound = "id: 1\ndata: a\n\n";
        ServerSentEventSplitter.Split split =
                splitUpToFault(sound + "id: 2\ndata: " + "x".repeat(300_000));
        assertThat(split.events().toString(StandardCharsets.US_ASCII)).isEqualTo(sound);
        assertThat(split.fault().get()).contains("exceeds");
        assertThat(mSplitter.lastEventId().getAsLong()).isEqualTo(1);
    }

    @Example
    void weightsVersionOfSpoiledEventIsIgnored() {
        splitUpToFault("id: 3\n\nweights: 2\nid: #4\n\n");
        assertThat(mSplitter.hasWeightsVersionChanged()).isFalse();
    }

    @Example
    void weightsVersionFieldIsDetected() {
        split("id: 3\n\n");
        assertThat(mSplitter.hasWeightsVersionChanged()).isFalse();
        split("weights: 2\nid: 4\n\n");
        assertThat(mSplitter.hasWeightsVersionChanged()).isTrue();
    }
}
