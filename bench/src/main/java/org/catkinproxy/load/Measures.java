package org.catkinproxy.load;

import org.HdrHistogram.Histogram;
import org.catkinproxy.demo.NestedPrompt;
import org.catkinproxy.demo.StreamOutcome;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What callers saw in a run. Safe for use by any thread; one lock. */
final class Measures {
    private static final int BYTES_PER_BLOCK = 4_096;
    private static final int TOKENS_PER_BLOCK = 1_024;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DIGITS = 3;
    private static final double PERCENT = 100;

    private final Histogram mFirstTokenMillis = new Histogram(DIGITS);
    private final Set<String> mSeen = new HashSet<>();
    private final Map<String, Integer> mFailures = new TreeMap<>();
    private int mRequests;
    private int mWhole;
    private long mPromptTokens;
    private long mCachedTokens;
    private long mRecomputedTokens;

    /**
     * Takes in one request.
     *
     * @param lateMillis how long after its due time the request was sent
     */
    synchronized void add(Arrival arrival, String text, long lateMillis, StreamOutcome outcome) {
        mRequests++;
        int known = knownTokens(arrival.prompt());
        if (!outcome.isDone()) {
            String name = outcome.error().isEmpty() ? "no answer" : outcome.error();
            mFailures.merge(name.split(":")[0], 1, Integer::sum);
            return;
        }
        mWhole++;
        mFirstTokenMillis.recordValue(lateMillis + outcome.firstToken().toMillis());
        mPromptTokens += text.length() / BYTES_PER_TOKEN;
        mCachedTokens += outcome.cachedTokens();
        mRecomputedTokens += Math.max(0, known - outcome.cachedTokens());
    }

    synchronized void print() {
        System.out.printf("%-34s %10s %10s %10s%n", "measure", "p50", "p95", "p99");
        System.out.printf(
                "%-34s %10d %10d %10d%n",
                "time to first token, ms",
                mFirstTokenMillis.getValueAtPercentile(50),
                mFirstTokenMillis.getValueAtPercentile(95),
                mFirstTokenMillis.getValueAtPercentile(99));
        printValue("requests", Integer.toString(mRequests));
        printValue("answered whole", Integer.toString(mWhole));
        printValue("prompt tokens", Long.toString(mPromptTokens));
        printValue("prefix hit rate, percent", share(mCachedTokens));
        printValue("recomputed tokens, percent", share(mRecomputedTokens));
        mFailures.forEach((name, count) -> printValue("not answered: " + name, count.toString()));
    }

    private String share(long tokens) {
        return String.format("%.1f", PERCENT * tokens / Math.max(1, mPromptTokens));
    }

    /** Returns how many tokens of whole blocks were sent before by an earlier request. */
    private int knownTokens(NestedPrompt prompt) {
        boolean section = !mSeen.add(prompt.workspace() + "/" + prompt.section());
        boolean standard = !mSeen.add(prompt.workspace());
        int bytes = 0;
        if (section) {
            bytes = NestedPrompt.STANDARD_BYTES + NestedPrompt.SECTION_BYTES;
        } else if (standard) {
            bytes = NestedPrompt.STANDARD_BYTES;
        }
        return bytes / BYTES_PER_BLOCK * TOKENS_PER_BLOCK;
    }

    private static void printValue(String name, String value) {
        System.out.printf("%-34s %10s%n", name, value);
    }
}
