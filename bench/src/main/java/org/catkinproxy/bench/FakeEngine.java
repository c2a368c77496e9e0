package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.route.RouteRequest;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A model engine: computes prompts in chunks of a block, the most urgent first, then generates.
 *
 * <p>One prompt chunk is computed at a time, at the engine's own speed; each job holds a slot from
 * its first chunk to its last token. Owned by the event loop.
 */
final class FakeEngine {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long CHUNK_OVERHEAD_NANOS = 500_000L;

    private final EventLoop mLoop;
    private final EngineId mId;
    private final EngineSpec mSpec;
    private final BlockCache mCache;
    private final PriorityQueue<Job> mQueue = new PriorityQueue<>();
    private final List<Job> mHeld = new ArrayList<>();
    private final List<Consumer<RouteEvent.CacheChanged>> mWatchers = new ArrayList<>();
    private int mStarts = 1;
    private boolean mUp = true;
    private Job mComputing;
    private int mSlotsUsed;
    private long mSequence;

    FakeEngine(EventLoop loop, int number, EngineSpec spec) {
        mLoop = loop;
        mId = EngineId.of(String.format("engine-%02d", number));
        mSpec = spec;
        mCache = new BlockCache(spec.cacheBlocks());
    }

    EngineId id() {
        return mId;
    }

    EngineSpec spec() {
        return mSpec;
    }

    boolean isUp() {
        return mUp;
    }

    Incarnation incarnation() {
        return Incarnation.of(mId.value() + "." + mStarts);
    }

    void watch(Consumer<RouteEvent.CacheChanged> watcher) {
        mWatchers.add(watcher);
    }

    /** Returns how many leading blocks of a prompt are cached now. */
    int cachedBlocks(RouteRequest request) {
        return mUp ? mCache.match(request.blocks().keys()) : 0;
    }

    void submit(Job job) {
        if (!mUp) {
            job.mListener.ended(false);
            return;
        }
        mHeld.add(job);
        mQueue.add(job);
        computeNext();
    }

    void cancel(Job job) {
        job.mCancelled = true;
        if (mQueue.remove(job)) {
            release(job);
        }
    }

    /** Loses everything; all jobs end without an answer. */
    void crash() {
        mUp = false;
        List<Job> lost = List.copyOf(mHeld);
        mHeld.clear();
        mQueue.clear();
        mCache.clear();
        mComputing = null;
        mSlotsUsed = 0;
        for (Job job : lost) {
            job.mCancelled = true;
            job.mListener.ended(false);
        }
    }

    /** Starts again, empty. */
    void restart() {
        mStarts++;
        mSequence = 0;
        mUp = true;
    }

    RouteEvent.CacheSnapshot snapshot() {
        return new RouteEvent.CacheSnapshot(mId, incarnation(), mSequence, mCache.all());
    }

    EngineReport report(long ageMillis) {
        long tokens = 0;
        for (Job job : mHeld) {
            tokens += uncachedTokens(job);
        }
        int running = Math.min(mHeld.size(), mSlotsUsed);
        return new EngineReport(
                mId,
                incarnation(),
                Deployment.POOL,
                Set.of(Deployment.WEIGHTS),
                mSpec.slots(),
                running,
                mHeld.size() - running,
                tokens,
                mSpec.prefillTokensPerSecond(),
                mSpec.decodeTokensPerSecond(),
                mSpec.cacheBlocks(),
                ageMillis);
    }

    /** Returns the tokens that will be computed before a new job of the same urgency. */
    long tokensAhead(RouteRequest request) {
        long tokens = 0;
        for (Job job : mHeld) {
            if (job.mRequest.priority().compareTo(request.priority()) <= 0) {
                tokens += uncachedTokens(job);
            }
        }
        return tokens;
    }

    /** Returns how many leading blocks will be cached once all jobs here are computed. */
    int blocksWhenReached(RouteRequest request) {
        List<BlockKey> keys = request.blocks().keys();
        int best = cachedBlocks(request);
        for (Job job : mHeld) {
            List<BlockKey> others = job.mRequest.blocks().keys();
            int common = 0;
            int limit = Math.min(keys.size(), others.size());
            while (common < limit && keys.get(common).equals(others.get(common))) {
                common++;
            }
            best = Math.max(best, common);
        }
        return best;
    }

    private long uncachedTokens(Job job) {
        if (job.mBegun) {
            return job.mRemainingTokens;
        }
        int cached = mCache.match(job.mRequest.blocks().keys());
        return job.mRemainingTokens - (long) cached * PromptBlocks.TOKENS_PER_BLOCK;
    }

    private void computeNext() {
        if (mComputing != null) {
            return;
        }
        Job job = takeNext();
        if (job == null) {
            return;
        }
        mComputing = job;
        if (!job.mBegun) {
            begin(job);
        }
        int tokens = Math.min(PromptBlocks.TOKENS_PER_BLOCK, job.mRemainingTokens);
        double nanos = tokens / mSpec.prefillTokensPerSecond() * NANOS_PER_SECOND;
        mLoop.after(CHUNK_OVERHEAD_NANOS + (long) nanos, () -> computed(job, tokens));
    }

    private Job takeNext() {
        Job next = mQueue.peek();
        if (next == null) {
            return null;
        }
        if (!next.mBegun && mSlotsUsed >= mSpec.slots()) {
            next = mQueue.stream().filter(j -> j.mBegun).min(Job::compareTo).orElse(null);
        }
        mQueue.remove(next);
        return next;
    }

    private void begin(Job job) {
        List<BlockKey> keys = job.mRequest.blocks().keys();
        int cached = mCache.match(keys);
        mCache.touch(keys, cached);
        mSlotsUsed++;
        job.begin(cached);
        job.mListener.started(cached * PromptBlocks.TOKENS_PER_BLOCK);
    }

    private void computed(Job job, int tokens) {
        if (mComputing != job) {
            return;
        }
        mComputing = null;
        int block = job.computedBlocks();
        job.mRemainingTokens -= tokens;
        if (job.computedBlocks() > block) {
            store(job.mRequest.blocks().keys().get(block));
        }
        if (job.mCancelled) {
            release(job);
        } else if (job.mRemainingTokens > 0) {
            mQueue.add(job);
        } else {
            generate(job);
        }
        computeNext();
    }

    private void generate(Job job) {
        job.mListener.firstToken();
        double nanos = job.mOutputTokens / mSpec.decodeTokensPerSecond() * NANOS_PER_SECOND;
        mLoop.after((long) nanos, () -> generated(job));
    }

    private void generated(Job job) {
        if (mHeld.contains(job)) {
            release(job);
            job.mListener.ended(true);
            computeNext();
        }
    }

    private void release(Job job) {
        if (mHeld.remove(job) && job.mBegun) {
            mSlotsUsed--;
        }
    }

    private void store(BlockKey key) {
        List<BlockKey> evicted = mCache.store(key);
        tell(RouteEvent.CacheChange.STORED, List.of(key));
        if (!evicted.isEmpty()) {
            tell(RouteEvent.CacheChange.EVICTED, evicted);
        }
    }

    private void tell(RouteEvent.CacheChange change, List<BlockKey> blocks) {
        mSequence++;
        RouteEvent.CacheChanged event =
                new RouteEvent.CacheChanged(mId, incarnation(), mSequence, change, blocks);
        mWatchers.forEach(watcher -> watcher.accept(event));
    }
}
