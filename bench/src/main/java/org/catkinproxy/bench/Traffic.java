package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.BlockKey;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Makes the calls of a deployment: a few hot prefixes, which shift, and many cold ones.
 *
 * <p>The same seed gives the same calls, whatever becomes of them. Owned by the event loop.
 */
final class Traffic {
    private static final long HOT_SHIFT_NANOS = 45 * EventLoop.SECOND;
    private static final double HOT_SHARE = 0.65;
    private static final int SHORT_ROOT_DIVISOR = 4;
    private static final int MIN_TAIL_TOKENS = 100;
    private static final int MAX_TAIL_TOKENS = 900;
    private static final int MIN_OUTPUT_TOKENS = 30;
    private static final int MAX_OUTPUT_TOKENS = 150;

    private final Deployment mDeployment;
    private final SplittableRandom mRandom;
    private final List<List<Document>> mDocuments = new ArrayList<>();
    private long mCalls;
    private long mCaller;
    private int mGeneration;
    private long mDocumentsMade;

    /** A text that several calls continue. */
    private static final class Document {
        private final long mNumber;
        private final int mRoot;
        private final int mSection;
        private int mBlocks;

        Document(long number, int root, int section, int blocks) {
            mNumber = number;
            mRoot = root;
            mSection = section;
            mBlocks = blocks;
        }
    }

    Traffic(Deployment deployment, long seed) {
        mDeployment = deployment;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < Deployment.WORKSPACE_SHARES.length; i++) {
            mDocuments.add(new ArrayList<>());
        }
    }

    /** Makes all prefixes new: nothing that is cached is of use any more. */
    void shiftPrefixes() {
        mGeneration++;
        mDocuments.forEach(List::clear);
    }

    /** Returns the time to the next call at a rate, in nanoseconds. */
    long gapNanos(double callsPerSecond) {
        double uniform = 1 - mRandom.nextDouble();
        return (long) (-StrictMath.log(uniform) / callsPerSecond * EventLoop.SECOND);
    }

    Call next(long nowNanos) {
        int workspace = pick(Deployment.WORKSPACE_SHARES);
        mCaller = mRandom.nextLong();
        int kind = pick(mDeployment.kindShares());
        List<BlockKey> keys = new ArrayList<>();
        Priority priority =
                switch (kind) {
                    case 0 -> addLong(workspace, nowNanos, keys);
                    case 1 -> addShort(workspace, nowNanos, keys);
                    default -> addUrgent(workspace, nowNanos, keys);
                };
        int tail = between(MIN_TAIL_TOKENS, MAX_TAIL_TOKENS);
        int tokens = keys.size() * PromptBlocks.TOKENS_PER_BLOCK + tail;
        int output = between(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
        return new Call(
                mCalls++,
                workspace,
                priority,
                new PromptBlocks(keys, tokens),
                output,
                mCaller,
                nowNanos);
    }

    private Priority addLong(int workspace, long nowNanos, List<BlockKey> keys) {
        Document document = document(workspace, nowNanos);
        mCaller = document.mNumber;
        addRoot(workspace, document.mRoot, mDeployment.shape().rootBlocks(), keys);
        addSection(workspace, document.mRoot, document.mSection, keys);
        for (int i = 0; i < document.mBlocks; i++) {
            keys.add(key(workspace, 3, document.mNumber, i));
        }
        document.mBlocks += mDeployment.shape().documentGrowth();
        return Priority.NORMAL;
    }

    private Priority addShort(int workspace, long nowNanos, List<BlockKey> keys) {
        int root = hot(mDeployment.shape().rootsPerWorkspace(), nowNanos);
        int blocks = mDeployment.shape().rootBlocks();
        if (mDeployment.shape().rootsPerWorkspace() > 1) {
            addRoot(workspace, root, blocks / SHORT_ROOT_DIVISOR, keys);
        } else {
            addRoot(workspace, root, blocks, keys);
            addSection(workspace, root, hot(mDeployment.shape().sectionsPerRoot(), nowNanos), keys);
        }
        return Priority.DRAFT;
    }

    private Priority addUrgent(int workspace, long nowNanos, List<BlockKey> keys) {
        int root = hot(mDeployment.shape().rootsPerWorkspace(), nowNanos);
        addRoot(workspace, root, mDeployment.shape().rootBlocks() / SHORT_ROOT_DIVISOR, keys);
        return Priority.ALARM;
    }

    private Document document(int workspace, long nowNanos) {
        PromptShape shape = mDeployment.shape();
        List<Document> live = mDocuments.get(workspace);
        if (!live.isEmpty() && mRandom.nextDouble() < shape.documentReuse()) {
            return live.get(mRandom.nextInt(live.size()));
        }
        int root = hot(shape.rootsPerWorkspace(), nowNanos);
        int section = hot(shape.sectionsPerRoot(), nowNanos);
        Document made = new Document(mDocumentsMade++, root, section, shape.documentBlocks());
        if (live.size() == shape.liveDocuments()) {
            live.remove(0);
        }
        live.add(made);
        return made;
    }

    private void addRoot(int workspace, int root, int blocks, List<BlockKey> keys) {
        for (int i = 0; i < blocks; i++) {
            keys.add(key(workspace, 1, root, i));
        }
    }

    private void addSection(int workspace, int root, int section, List<BlockKey> keys) {
        long name = (long) root * mDeployment.shape().sectionsPerRoot() + section;
        for (int i = 0; i < mDeployment.shape().sectionBlocks(); i++) {
            keys.add(key(workspace, 2, name, i));
        }
    }

    private BlockKey key(int workspace, int level, long name, int place) {
        long text = ((mGeneration * 8L + level) * 64 + workspace) << 40 | name << 12 | place;
        return new BlockKey(mix(text), mix(~text));
    }

    /** Picks one of a few; which is hot changes with time. */
    private int hot(int count, long nowNanos) {
        int hottest = (int) (nowNanos / HOT_SHIFT_NANOS % count);
        if (mRandom.nextDouble() < HOT_SHARE) {
            return hottest;
        }
        return mRandom.nextInt(count);
    }

    private int pick(double[] shares) {
        double left = mRandom.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private int between(int low, int high) {
        return low + mRandom.nextInt(high - low + 1);
    }

    private static long mix(long value) {
        long z = value * 0x9e37_79b9_7f4a_7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
