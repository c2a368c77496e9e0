package org.catkinproxy.chaos;

import org.catkinproxy.demo.Caller;
import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.NestedPrompt;
import org.catkinproxy.demo.StreamOutcome;

import java.time.Duration;
import java.util.List;
import java.util.Random;

/** A caller that streams one answer after the other. Used by one thread. */
final class StreamWorker implements Runnable {
    private static final int SECTIONS = 6;
    private static final int MIN_TOKENS = 20;
    private static final int TOKENS_SPREAD = 120;
    private static final int MAX_CONNECTIONS = 8;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final RunContext mContext;
    private final String mName;
    private final String mWorkspace;
    private final Caller mCaller;
    private final Random mRandom;

    StreamWorker(RunContext context, int number, long seed) {
        mContext = context;
        mName = "worker-" + number;
        mWorkspace = DemoSheet.WORKSPACES.get(number % DemoSheet.WORKSPACES.size());
        List<String> known = context.cluster().daemons().stream().map(Member::address).toList();
        mCaller = new Caller(known, DemoSheet.keyOf(mWorkspace));
        mRandom = new Random(seed);
    }

    @Override
    public void run() {
        for (int number = 1; !mContext.isOver(); number++) {
            String prompt = prompt(number);
            int maxTokens = MIN_TOKENS + mRandom.nextInt(TOKENS_SPREAD);
            long start = System.nanoTime();
            StreamOutcome outcome = mCaller.complete(prompt, maxTokens, MAX_CONNECTIONS);
            mContext.streams().check(prompt, maxTokens, start, outcome);
            Cluster.sleep(PAUSE);
        }
    }

    private String prompt(int number) {
        int section = Math.min(mRandom.nextInt(SECTIONS), mRandom.nextInt(SECTIONS));
        return new NestedPrompt(mWorkspace, section, mName + " submission " + number).text();
    }
}
