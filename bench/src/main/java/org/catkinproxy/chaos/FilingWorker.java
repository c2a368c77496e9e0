package org.catkinproxy.chaos;

import org.catkinproxy.demo.Caller;
import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.FilingAnswer;
import org.catkinproxy.demo.Member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;

/**
 * A caller that makes one filing after the other, some of them twice at the same time through two
 * entries. Used by one thread.
 */
final class FilingWorker implements Runnable {
    private static final int MAX_TRIES = 5;
    private static final double SHARE_TWICE = 0.15;
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final RunContext mContext;
    private final int mNumber;
    private final List<String> mKnown;
    private final String mKey;
    private final Caller mCaller;
    private final Random mRandom;
    private final ExecutorService mThreads;

    FilingWorker(RunContext context, int number, long seed, ExecutorService threads) {
        mContext = context;
        mNumber = number;
        mKnown = context.cluster().daemons().stream().map(Member::address).toList();
        mKey = DemoSheet.keyOf(DemoSheet.WORKSPACES.get(number % DemoSheet.WORKSPACES.size()));
        mCaller = new Caller(mKnown, mKey);
        mRandom = new Random(seed);
        mThreads = threads;
    }

    @Override
    public void run() {
        for (int number = 1; !mContext.isOver(); number++) {
            String key = "filing-" + mNumber + "-" + number;
            String body = "{\"filing\":\"" + key + "\"}";
            if (mRandom.nextDouble() < SHARE_TWICE) {
                fileTwice(key, body);
            } else {
                int tries = 1 + mRandom.nextInt(MAX_TRIES);
                note(key, true, mCaller.file(key, body, tries));
            }
            Cluster.sleep(PAUSE);
        }
    }

    private void fileTwice(String key, String body) {
        Caller other = new Caller(mKnown, mKey);
        Future<List<FilingAnswer>> second = mThreads.submit(() -> other.file(key, body, 2));
        List<FilingAnswer> answers = new ArrayList<>(mCaller.file(key, body, 2));
        try {
            answers.addAll(second.get());
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        note(key, false, answers);
    }

    private void note(String key, boolean alone, List<FilingAnswer> answers) {
        FilingAnswer last = answers.get(answers.size() - 1);
        mContext.ledger().outcome("filing " + last.kind() + " " + last.code());
        mContext.filings().add(key, alone, answers);
    }
}
