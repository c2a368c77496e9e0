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

    private final Scene mScene;
    private final Map<String, Long> mHighest = new HashMap<>();

    RevisionWatcher(Scene scene) {
        mScene = scene;
    }

    @Override
    public void run() {
        while (!mScene.isOver()) {
            mScene.cluster().daemons().forEach(this::look);
            Cluster.sleep(PAUSE);
        }
    }

    private void look(Member daemon) {
        if (!mScene.cluster().isListening(daemon, "/ready")) {
            return;
        }
        try {
            long revision = mScene.operator().revision(daemon);
            long highest = mHighest.merge(daemon.id(), revision, Math::max);
            String evidence = daemon.id() + " had " + highest + " and has " + revision;
            mScene.ledger().check(Promise.REVISION_NEVER_REVERTS, revision >= highest, evidence);
        } catch (IOException e) {
            mScene.ledger().outcome("a ready daemon did not tell its revision");
        }
    }
}
