package org.catkinproxy.gateway;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.quarantine.PromptFailure;
import org.catkinproxy.quarantine.PromptQuarantine;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.quarantine.QuarantineReport;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamStart;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Keeps prompts that crash engines from further engines, together with the other instances.
 *
 * <p>What this instance sees of a crash, and that a suspect part is sound, is news for all other
 * instances. Used by the event loop only.
 */
final class PromptGuard {
    /** The length of a request id up to which peers are told it as it is. */
    private static final int MAX_ID_LENGTH = 64;

    private final Gateway mGateway;
    private final InstanceId mSelf;
    private final QuarantineTable mTable;
    private final PeerReporter mReporter;
    private final PromptQuarantine mQuarantine = PromptQuarantine.create();
    private boolean mDecisionScheduled;

    PromptGuard(Gateway gateway, TableStore store, InstanceId self) {
        mGateway = gateway;
        mSelf = self;
        mTable = new QuarantineTable(gateway, store);
        mReporter = new PeerReporter(gateway, this::report);
    }

    /** Reads what was known when this instance started. */
    void start() {
        readTable();
    }

    /** Makes sure that the store, which came back from a copy, gets the quarantines in force. */
    void onStoreRestored() {
        mTable.forgetStored();
        if (isWriter()) {
            readTable();
        }
    }

    private void readTable() {
        mTable.read(
                quarantines ->
                        merge(QuarantineReport.ofStored(quarantines, mGateway.now()), mSelf));
    }

    /** Returns the quarantine that covers {@code prompt}, empty if there is none. */
    Optional<Quarantine> findQuarantine(Prompt prompt) {
        return mQuarantine.find(prompt.sharedPartIds(), mGateway.now());
    }

    /** Returns whether a request that failed may be sent to another engine. */
    boolean mayRepeat(RequestId request, Prompt prompt) {
        return mQuarantine.mayRepeat(shortened(request), prompt.sharedPartIds(), mGateway.now());
    }

    /** Returns the number of quarantines in force. */
    int quarantineCount() {
        return mQuarantine.size(mGateway.now());
    }

    /** Records that an engine has generated output for {@code prompt} and goes on running. */
    void recordSuccess(Prompt prompt) {
        if (mQuarantine.recordSuccess(prompt.sharedPartIds(), mGateway.now())) {
            mReporter.publishSoon();
        }
    }

    /** Records that a run on {@code prompt} goes on beyond the time of early failures. */
    void recordSurvival(Prompt prompt) {
        if (mQuarantine.recordSurvival(prompt.sharedPartIds(), mGateway.now())) {
            mReporter.publishSoon();
        }
    }

    /** A report has to fit into a datagram, whatever ids callers choose. */
    private static RequestId shortened(RequestId request) {
        return request.value().length() <= MAX_ID_LENGTH
                ? request
                : RequestId.of(
                        Hashing.farmHashFingerprint64()
                                .hashString(request.value(), StandardCharsets.UTF_8)
                                .toString());
    }

    /**
     * Records that an engine's connection broke before it was known to survive {@code prompt}.
     *
     * @param late whether the engine had generated output for a while
     */
    void recordFailure(
            Upstream engine, RequestId request, Prompt prompt, long sentAt, boolean late) {
        long now = mGateway.now();
        PromptFailure.Key key = new PromptFailure.Key(UpstreamStart.of(engine), shortened(request));
        Set<Long> parts = Set.copyOf(Longs.asList(prompt.sharedPartIds()));
        mQuarantine.recordFailure(new PromptFailure(key, sentAt, now, late, parts), now);
        scheduleDecision();
        mReporter.publishSoon();
    }

    private void scheduleDecision() {
        if (mQuarantine.isUndecided() && !mDecisionScheduled) {
            mDecisionScheduled = true;
            long lag = mGateway.loopDelay().turnNanos(mGateway.now());
            mGateway.loop()
                    .schedule(
                            this::decide,
                            PromptQuarantine.SETTLE_NANOS + lag,
                            TimeUnit.NANOSECONDS);
        }
    }

    private void decide() {
        mDecisionScheduled = false;
        begin(mQuarantine.decide(mGateway.now()), mSelf);
    }

    /**
     * Once per interval, repeats what is known to a few other instances, and writes the quarantines
     * to the store if this is the instance to do so.
     */
    void repeatReport() {
        if (mReporter.repeatIfDue() && isWriter()) {
            mTable.write(mQuarantine.all(mGateway.now()));
        }
    }

    /** Returns whether this instance has the lowest id of those that accept callers. */
    private boolean isWriter() {
        return mGateway.isReady()
                && mGateway.instanceRegistry().readyPeers().stream()
                        .allMatch(p -> mSelf.compareTo(p) < 0);
    }

    private Optional<PeerMessage> report() {
        QuarantineReport report = mQuarantine.report(mGateway.now());
        return report.isEmpty()
                ? Optional.empty()
                : Optional.of(new PeerMessage.QuarantineUpdate(mSelf, report));
    }

    /** Handles a report of another instance. */
    void onPeerReport(PeerMessage.QuarantineUpdate update) {
        merge(update.report(), update.instance());
    }

    private void merge(QuarantineReport report, InstanceId reporter) {
        begin(mQuarantine.merge(report, mGateway.now()), reporter);
        scheduleDecision();
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
                            "newest_failure",
                            quarantine.key().newestFailure().request(),
                            "engine",
                            quarantine.key().newestFailure().engine().upstream());
        }
        if (!quarantines.isEmpty()) {
            mGateway.openRequests().endQuarantined();
        }
    }

    private static String hex(Quarantine quarantine) {
        return quarantine.parts().stream().map(Long::toHexString).collect(Collectors.joining(","));
    }
}
