package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.serving.LoopDelayEstimator;

import io.netty.channel.embedded.EmbeddedChannel;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Replays requests that are read by an event loop that keeps up, and by one that is behind. */
class StartQueueTest {
    private static final long INTERVAL_NANOS = TimeUnit.HOURS.toNanos(1);

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<String> mStarted = new ArrayList<>();

    private StartQueue queue(LoopDelayEstimator delay) {
        return new StartQueue(mChannel.eventLoop(), delay);
    }

    private static LoopDelayEstimator loopThatKeepsUp() {
        return LoopDelayEstimator.of(INTERVAL_NANOS, System.nanoTime());
    }

    private static LoopDelayEstimator loopThatIsBehind() {
        return LoopDelayEstimator.of(INTERVAL_NANOS, System.nanoTime() - 2 * INTERVAL_NANOS);
    }

    @Example
    void requestStartsAtOnceIfTheLoopKeepsUp() {
        queue(loopThatKeepsUp()).start(() -> mStarted.add("a"));
        assertThat(mStarted).containsExactly("a");
    }

    @Example
    void requestsOfLoopThatIsBehindStartInLaterTurnsInOrder() {
        StartQueue queue = queue(loopThatIsBehind());
        queue.start(() -> mStarted.add("a"));
        queue.start(() -> mStarted.add("b"));
        assertThat(mStarted).isEmpty();

        mChannel.runPendingTasks();
        assertThat(mStarted).containsExactly("a", "b").inOrder();
    }

    /** A long start ends the turn, so that the sockets are read before the next one. */
    @Example
    void longStartIsTheLastOfItsTurn() {
        StartQueue queue = queue(loopThatIsBehind());
        queue.start(
                () -> {
                    mStarted.add("long");
                    mChannel.eventLoop().execute(() -> mStarted.add("other task"));
                    spinFor(TimeUnit.MILLISECONDS.toNanos(30));
                });
        queue.start(() -> mStarted.add("next"));
        mChannel.runPendingTasks();
        mChannel.runPendingTasks();
        assertThat(mStarted).containsExactly("long", "other task", "next").inOrder();
    }

    private static void spinFor(long nanos) {
        long begin = System.nanoTime();
        while (System.nanoTime() - begin < nanos) {
            Thread.onSpinWait();
        }
    }

    @Example
    void startThatThrowsDoesNotHoldUpTheNextOne() {
        StartQueue queue = queue(loopThatIsBehind());
        queue.start(
                () -> {
                    throw new IllegalStateException("start failed");
                });
        queue.start(() -> mStarted.add("next"));
        mChannel.runPendingTasks();
        mChannel.runPendingTasks();
        assertThat(mStarted).containsExactly("next");
    }
}
