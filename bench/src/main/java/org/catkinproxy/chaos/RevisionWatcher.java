package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Asks every ready daemon for its revision, again and again. Used by one thread. */
final class RevisionWatcher implements Runnable {
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final RunContext mContext;
    private final Map<String, Long> mHighest = new HashMap<>();

    RevisionWatcher(RunContext context) {
        mContext = context;
    }

    @Override
    public void run() {
        while (!mContext.isOver()) {
            mContext.cluster().daemons().forEach(this::look);
            Cluster.sleep(PAUSE);
        }
    }

    private void look(Member daemon) {
        if (!mContext.cluster().isListening(daemon, "/ready")) {
            return;
        }
        try {
            long revision = mContext.operator().revision(daemon);
            long highest = mHighest.merge(daemon.id(), revision, Math::max);
            String evidence = daemon.id() + " had " + highest + " and has " + revision;
            mContext.ledger().check(Promise.REVISION_NEVER_REVERTS, revision >= highest, evidence);
        } catch (IOException e) {
            mContext.ledger().outcome("a ready daemon did not tell its revision");
        }
    }
}
