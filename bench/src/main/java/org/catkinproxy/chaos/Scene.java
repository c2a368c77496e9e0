package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Operator;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What all parts of a run share. Safe for use by any thread. */
final class Scene {
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

    Scene(Cluster cluster) {
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

    /** Takes a member for one failure; nothing else disturbs it until it is released. */
    boolean hold(Member member) {
        boolean held = mHeld.add(member.id());
        if (held) {
            disturbed(member);
        }
        return held;
    }

    /** Waits a while for {@link #hold}; says so if the member stays taken. */
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
        disturbed(member);
        mHeld.remove(member.id());
    }

    /** Notes that a member is or just was disturbed. */
    void disturbed(Member member) {
        mDisturbedNanos.put(member.id(), System.nanoTime());
    }

    /** Tells whether nothing disturbed a member from {@code nanos} on. */
    boolean isUndisturbedSince(Member member, long nanos) {
        Long last = mDisturbedNanos.get(member.id());
        return !mHeld.contains(member.id()) && (last == null || last - nanos < 0);
    }

    boolean isOver() {
        return mOver;
    }

    /** Tells all parts to come to an end. */
    void end() {
        mOver = true;
    }
}
