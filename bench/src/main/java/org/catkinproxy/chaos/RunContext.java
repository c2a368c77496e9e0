package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Operator;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The cluster, the checks and the results that all workers and faults of one run share.
 *
 * <p>A member is held by at most one fault at a time. Thread-safe.
 */
final class RunContext {
    private static final Duration HOLD_LIMIT = Duration.ofSeconds(12);
    private static final Duration HOLD_POLL = Duration.ofMillis(100);

    private final Cluster mCluster;
    private final Operator mOperator = new Operator();
    private final Ledger mLedger = new Ledger();
    private final Versions mVersions = new Versions();
    private final StreamCheck mStreams = new StreamCheck(mLedger, mVersions);
    private final SheetWriter mSheets = new SheetWriter(this);
    private final FilingBook mFilings = new FilingBook();
    private final Set<String> mHeld = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> mDisturbedNanos = new ConcurrentHashMap<>();
    private volatile boolean mOver;

    RunContext(Cluster cluster) {
        mCluster = cluster;
    }

    Cluster cluster() {
        return mCluster;
    }

    Operator operator() {
        return mOperator;
    }

    Ledger ledger() {
        return mLedger;
    }

    Versions versions() {
        return mVersions;
    }

    StreamCheck streams() {
        return mStreams;
    }

    SheetWriter sheets() {
        return mSheets;
    }

    FilingBook filings() {
        return mFilings;
    }

    /** Holds a member for one fault; no other fault affects it until it is released. */
    boolean hold(Member member) {
        boolean held = mHeld.add(member.id());
        if (held) {
            recordDisturbance(member);
        }
        return held;
    }

    /** Waits for {@link #hold}; records that the fault is skipped if the member stays held. */
    boolean holdSoon(Member member) {
        long end = System.nanoTime() + HOLD_LIMIT.toNanos();
        while (!hold(member)) {
            if (System.nanoTime() - end > 0) {
                mLedger.note("skipped: " + member.id() + " stays disturbed");
                return false;
            }
            Cluster.sleep(HOLD_POLL);
        }
        return true;
    }

    void release(Member member) {
        recordDisturbance(member);
        mHeld.remove(member.id());
    }

    /** Records that a fault affects a member or has just ended. */
    void recordDisturbance(Member member) {
        mDisturbedNanos.put(member.id(), System.nanoTime());
    }

    /** Returns whether no fault has affected a member since {@code nanos}. */
    boolean isUndisturbedSince(Member member, long nanos) {
        Long last = mDisturbedNanos.get(member.id());
        return !mHeld.contains(member.id()) && (last == null || last - nanos < 0);
    }

    boolean isOver() {
        return mOver;
    }

    /** Makes all workers and faults end. */
    void end() {
        mOver = true;
    }
}
