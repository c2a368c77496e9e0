package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Web;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/** The operators, who apply sheets with new versions. Safe for use by any thread. */
final class SheetWriter {
    private static final String POOL = "gpu-a";

    private final RunContext mContext;

    SheetWriter(RunContext context) {
        mContext = context;
    }

    /** Applies a sheet with a new version at one daemon, and checks that it spreads. */
    void apply(Member daemon) {
        long expect = expect(daemon);
        if (expect < 0) {
            return;
        }
        int version = mContext.versions().offer();
        Web.Answer answer = send(daemon, version, expect);
        if (answer.isSuccess()) {
            accepted(version, expect + 1);
        }
        mContext.ledger().outcome("sheet " + answer.status() + " " + answer.code());
    }

    /** Applies two sheets on the same revision at two daemons at the same time. */
    void race(Member first, Member second) {
        long expect = expect(first);
        if (expect < 0) {
            return;
        }
        int one = mContext.versions().offer();
        int two = mContext.versions().offer();
        List<Offer> offers = List.of(new Offer(first, one), new Offer(second, two));
        List<Integer> winners =
                offers.parallelStream()
                        .filter(o -> send(o.daemon(), o.version(), expect).isSuccess())
                        .map(Offer::version)
                        .toList();
        mContext.ledger()
                .check(
                        Promise.ONE_OPERATOR_WINS,
                        winners.size() <= 1,
                        "both sheets became revision " + (expect + 1));
        if (winners.size() == 1) {
            accepted(winners.get(0), expect + 1);
        }
        mContext.ledger().outcome("race with winners: " + winners.size());
    }

    private void accepted(int version, long revision) {
        mContext.versions().accepted(version);
        mContext.ledger().note("revision " + revision + " with " + Versions.name(version));
        checkSpread(revision);
    }

    private void checkSpread(long revision) {
        long accepted = System.nanoTime();
        Cluster.sleep(Versions.IN_FORCE_LIMIT);
        for (Member daemon : mContext.cluster().daemons()) {
            if (!mContext.isUndisturbedSince(daemon, accepted)) {
                continue;
            }
            try {
                long found = mContext.operator().revision(daemon);
                String evidence = daemon.id() + " has " + found + ", not " + revision;
                mContext.ledger().check(Promise.REVISION_IN_FORCE, found >= revision, evidence);
            } catch (IOException e) {
                mContext.ledger().outcome("status of an undisturbed daemon failed");
            }
        }
    }

    private long expect(Member daemon) {
        try {
            return mContext.operator().revision(daemon);
        } catch (IOException e) {
            mContext.ledger().outcome("no daemon to apply a sheet at");
            return -1;
        }
    }

    private Web.Answer send(Member daemon, int version, long expect) {
        String csv = DemoSheet.csv(mContext.cluster(), Versions.name(version), POOL, Set.of());
        try {
            return mContext.operator().apply(daemon, csv, expect);
        } catch (IOException e) {
            return new Web.Answer(0, "{}");
        }
    }

    /** Waits until a daemon can be asked, and applies the first sheet. */
    void applyFirst() {
        Member daemon = mContext.cluster().daemons().get(0);
        int version = mContext.versions().offer();
        Cluster.await("the first sheet", () -> send(daemon, version, 0).isSuccess());
        mContext.versions().accepted(version);
        mContext.cluster().daemons().forEach(mContext.cluster()::awaitReady);
        Cluster.sleep(Duration.ofSeconds(2));
    }

    private record Offer(Member daemon, int version) {}
}
