package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Faults;
import org.catkinproxy.standin.WeightsName;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiConsumer;

/**
 * Everything that an engine loses in a crash: one incarnation with its cache, batch and weights.
 *
 * <p>Safe for use by any thread.
 */
final class EngineRun {
    private final String mIncarnation = "i-" + UUID.randomUUID();
    private final EngineOptions mOptions;
    private final CacheEvents mEvents;
    private final BlockCache mCache;
    private final LoadedWeights mWeights;
    private final Batch mBatch;
    private final Map<String, Generation> mGenerations = new ConcurrentHashMap<>();
    private final ReentrantLock mPrefill = new ReentrantLock(true);
    private volatile String mRole;
    private volatile boolean mCrashed;
    private long mFencing;

    EngineRun(EngineOptions options, Faults faults, BiConsumer<EngineRun, Generation> starter) {
        mOptions = options;
        mEvents = new CacheEvents(mIncarnation, options.eventLag(), faults);
        mCache = new BlockCache(options.cacheBlocks(), mEvents);
        mWeights = new LoadedWeights(options.weights());
        mBatch = new Batch(options.slots(), options.queueLimit(), g -> starter.accept(this, g));
        mRole = options.role();
    }

    String incarnation() {
        return mIncarnation;
    }

    CacheEvents events() {
        return mEvents;
    }

    BlockCache cache() {
        return mCache;
    }

    LoadedWeights weights() {
        return mWeights;
    }

    Batch batch() {
        return mBatch;
    }

    /** The one thing that all running generations share: the compute of prefill. */
    ReentrantLock prefill() {
        return mPrefill;
    }

    void setRole(String role) {
        mRole = role;
    }

    /** Takes note of an order's fencing number and tells whether the order is to be carried out. */
    synchronized boolean accepts(long fencing) {
        if (mOptions.checksFencing() && fencing < mFencing) {
            return false;
        }
        mFencing = Math.max(mFencing, fencing);
        return true;
    }

    boolean isCrashed() {
        return mCrashed;
    }

    /** Ends all generations without an end event. */
    void crash() {
        mCrashed = true;
        mGenerations.values().forEach(Generation::cancel);
    }

    /** Takes a generation in, unless the queue is full; an earlier one of the same id ends. */
    boolean submit(Generation generation) {
        if (!mBatch.submit(generation)) {
            return false;
        }
        Generation earlier = mGenerations.put(generation.request().id(), generation);
        if (earlier != null) {
            earlier.cancel();
            mBatch.withdraw(earlier);
        }
        return true;
    }

    Optional<Generation> generation(String id) {
        return Optional.ofNullable(mGenerations.get(id));
    }

    void cancel(String id) {
        Generation generation = mGenerations.remove(id);
        if (generation != null) {
            generation.cancel();
            mBatch.withdraw(generation);
        }
    }

    /** Cancels generations that nobody has read for longer than they are retained. */
    void dropUnread() {
        mGenerations.forEach(
                (id, generation) -> {
                    if (generation.isUnreadFor(mOptions.retention())) {
                        cancel(id);
                    }
                });
    }

    synchronized ObjectNode state() {
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("incarnation", mIncarnation).put("fencing", mFencing).put("role", mRole);
        ArrayNode list = json.putArray("weights");
        for (LoadedWeights.Entry entry : mWeights.all()) {
            list.add(toJson(entry.weights()).put("state", entry.isLoaded() ? "loaded" : "loading"));
        }
        json.put("running", mBatch.running().size());
        return json;
    }

    ObjectNode load() {
        List<Generation> running = mBatch.running();
        List<Generation> waiting = mBatch.waiting();
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("incarnation", mIncarnation);
        ArrayNode list = json.putArray("weights");
        mWeights.loaded().forEach(w -> list.add(toJson(w)));
        json.put("role", mRole)
                .put("slots", mOptions.slots())
                .put("running", running.size())
                .put("queued", waiting.size())
                .put("queuedTokens", uncached(waiting) + prefillLeft(running))
                .put("prefillTokensPerSecond", mOptions.prefillTokensPerSecond())
                .put("decodeTokensPerSecond", mOptions.decodeTokensPerSecond())
                .put("cacheBlocks", mCache.capacity())
                .put("cachedBlocks", mCache.size());
        return json;
    }

    static ObjectNode toJson(WeightsName weights) {
        return Call.JSON
                .createObjectNode()
                .put("model", weights.model())
                .put("adapter", weights.adapter())
                .put("version", weights.version());
    }

    private long uncached(List<Generation> waiting) {
        return waiting.stream()
                .map(Generation::request)
                .mapToLong(
                        r ->
                                r.promptTokens()
                                        - (long) mCache.prefix(r.blocks())
                                                * GenerateRequest.TOKENS_PER_BLOCK)
                .sum();
    }

    private static long prefillLeft(List<Generation> running) {
        return running.stream().mapToLong(Generation::prefillLeft).sum();
    }
}
