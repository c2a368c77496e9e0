package org.catkinproxy.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Spreads what this instance knows to the other instances.
 *
 * <p>News goes to all other instances at once. At intervals a few of them get all that is known, so
 * that instances that have just started, or that a datagram did not reach, learn it as well; the
 * cost does not grow with the number of instances. Used by the event loop only.
 */
final class PeerReporter {
    /** Delay in which news of one cause accumulates, such as the failures of one crash. */
    private static final long PUBLISH_DELAY_MILLIS = 5;

    /** Minimum time between two reports that repeat what is known. */
    private static final long REPEAT_INTERVAL_NANOS = 1_000_000_000L;

    /** Number of instances that get each of these reports. */
    private static final int PEERS_PER_REPEAT = 4;

    private final Gateway mGateway;
    private final Supplier<Optional<PeerMessage>> mReport;
    private final Random mRandom = new Random();
    private boolean mPublicationScheduled;
    private long mRepeatedAt;

    /** Creates a reporter of what {@code report} returns, empty if there is nothing to say. */
    PeerReporter(Gateway gateway, Supplier<Optional<PeerMessage>> report) {
        mGateway = gateway;
        mReport = report;
        mRepeatedAt = gateway.now();
    }

    /** Sends a report to all other instances soon. */
    void publishSoon() {
        if (!mPublicationScheduled) {
            mPublicationScheduled = true;
            mGateway.loop().schedule(this::publish, PUBLISH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void publish() {
        mPublicationScheduled = false;
        send(mGateway.instanceRegistry().peerAddresses().values());
    }

    /**
     * Sends a report to a few other instances, chosen at random, once per interval.
     *
     * @return whether the interval had passed
     */
    boolean repeatIfDue() {
        long now = mGateway.now();
        if (now - mRepeatedAt < REPEAT_INTERVAL_NANOS) {
            return false;
        }
        mRepeatedAt = now;
        List<InetSocketAddress> peers =
                new ArrayList<>(mGateway.instanceRegistry().peerAddresses().values());
        Collections.shuffle(peers, mRandom);
        send(peers.subList(0, Math.min(PEERS_PER_REPEAT, peers.size())));
        return true;
    }

    private void send(Collection<InetSocketAddress> peers) {
        mReport.get().ifPresent(report -> mGateway.peerMessenger().send(report, peers));
    }
}
