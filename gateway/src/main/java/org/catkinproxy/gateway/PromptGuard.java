package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.quarantine.EngineStart;
import org.catkinproxy.quarantine.PromptFailure;
import org.catkinproxy.quarantine.PromptQuarantine;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.quarantine.QuarantineReport;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.Upstream;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Keeps prompts that crash engines from further engines, together with the other instances.
 *
 * <p>What this instance sees of a crash goes to all other instances at once. With each heartbeat a
 * few of them get all that this instance knows, so that instances that have just started, or that a
 * datagram did not reach, learn it as well. Used by the event loop only.
 */
final class PromptGuard {
    /** Delay in which the failures of all attempts at a crashed engine are seen. */
    private static final long PUBLISH_DELAY_MILLIS = 5;

    /** Number of instances that get a report with each heartbeat. */
    private static final int PEERS_PER_HEARTBEAT = 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Gateway mGateway;
    private final InstanceId mSelf;
    private final PromptQuarantine mQuarantine = PromptQuarantine.create();
    private final Random mRandom = new Random();
    private boolean mPublishScheduled;

    PromptGuard(Gateway gateway, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
    }

    /** Returns the quarantine that covers {@code prompt}, empty if there is none. */
    Optional<Quarantine> findQuarantine(Prompt prompt) {
        return mQuarantine.find(prompt.sharedPartIds(), mGateway.now());
    }

    /** Returns whether a request that failed may be sent to another engine. */
    boolean mayRepeat(RequestId request, Prompt prompt) {
        return mQuarantine.mayRepeat(request, prompt.sharedPartIds(), mGateway.now());
    }

    /** Records that an engine has generated output for {@code prompt} and goes on running. */
    void recordSuccess(Prompt prompt) {
        mQuarantine.recordSuccess(prompt.sharedPartIds(), mGateway.now());
    }

    /** Records that an engine's connection broke before it was known to survive {@code prompt}. */
    void recordFailure(Upstream engine, RequestId request, Prompt prompt, long sentAt) {
        long now = mGateway.now();
        Set<Long> parts = LongStream.of(prompt.sharedPartIds()).boxed().collect(Collectors.toSet());
        PromptFailure failure =
                new PromptFailure(EngineStart.of(engine), request, sentAt, now, parts);
        begin(mQuarantine.recordFailure(failure, now), mSelf);
        schedulePublication();
    }

    private void schedulePublication() {
        if (!mPublishScheduled) {
            mPublishScheduled = true;
            mGateway.loop().schedule(this::publish, PUBLISH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void publish() {
        mPublishScheduled = false;
        send(mGateway.instanceRegistry().peerAddresses().values());
    }

    /** Sends a report to a few other instances, chosen at random. */
    void sendToSomePeers() {
        List<InetSocketAddress> peers =
                new ArrayList<>(mGateway.instanceRegistry().peerAddresses().values());
        Collections.shuffle(peers, mRandom);
        send(peers.subList(0, Math.min(PEERS_PER_HEARTBEAT, peers.size())));
    }

    private void send(Collection<InetSocketAddress> peers) {
        QuarantineReport report = mQuarantine.report(mGateway.now());
        if (!report.isEmpty()) {
            mGateway.peerMessenger().send(new PeerMessage.QuarantineUpdate(mSelf, report), peers);
        }
    }

    /** Handles a report of another instance. */
    void onPeerReport(PeerMessage.QuarantineUpdate update) {
        begin(mQuarantine.merge(update.report(), mGateway.now()), update.instance());
    }

    private void begin(List<Quarantine> quarantines, InstanceId reporter) {
        for (Quarantine quarantine : quarantines) {
            mGateway.log()
                    .record(
                            GatewayEvent.PROMPT_QUARANTINED,
                            "parts",
                            hex(quarantine),
                            "reporter",
                            reporter,
                            "failure_age_ms",
                            (mGateway.now() - quarantine.failedAt()) / NANOS_PER_MILLI);
        }
        if (!quarantines.isEmpty()) {
            mGateway.onPromptsQuarantined();
        }
    }

    private static String hex(Quarantine quarantine) {
        return quarantine.parts().stream().map(Long::toHexString).collect(Collectors.joining(","));
    }

    /** Returns the number of quarantines in force. */
    int quarantineCount() {
        return mQuarantine.size();
    }
}
