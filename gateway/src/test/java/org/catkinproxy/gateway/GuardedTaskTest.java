package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import io.netty.channel.embedded.EmbeddedChannel;

import java.io.OutputStream;
import java.util.concurrent.TimeUnit;

/** A periodic task goes on after an unexpected error in one of its runs. */
class GuardedTaskTest {
    private int mRuns;

    @Example
    void periodicTaskIsRepeatedAfterAnError() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        EventLog log = EventLog.to(OutputStream.nullOutputStream(), "edge-1");
        Runnable failing =
                () -> {
                    mRuns++;
                    throw new IllegalStateException("run failed");
                };
        channel.eventLoop()
                .scheduleAtFixedRate(
                        GuardedTask.of(log, "failing", failing), 1, 1, TimeUnit.MILLISECONDS);
        for (int i = 0; i < 3; i++) {
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        assertThat(mRuns).isEqualTo(3);
    }
}
