package org.catkinproxy.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prefix cache: block keys, the least recently used evicted first.
 *
 * <p>Holds at most its capacity. Safe for use by any thread; all state is under one lock, which is
 * held while changes are numbered, so the numbers follow the order of the changes.
 */
final class BlockCache {
    private final Map<String, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final int mCapacity;
    private final CacheEvents mEvents;

    BlockCache(int capacity, CacheEvents events) {
        mCapacity = capacity;
        mEvents = events;
    }

    /** Returns how many of the first blocks are cached without a gap, and marks them as used. */
    synchronized int touchPrefix(List<String> blocks) {
        int count = prefix(blocks);
        blocks.subList(0, count).forEach(mBlocks::get);
        return count;
    }

    /** Returns how many of the first blocks are cached without a gap. */
    synchronized int prefix(List<String> blocks) {
        int count = 0;
        while (count < blocks.size() && mBlocks.containsKey(blocks.get(count))) {
            count++;
        }
        return count;
    }

    synchronized boolean contains(String block) {
        return mBlocks.containsKey(block);
    }

    synchronized void store(String block) {
        if (mCapacity == 0 || mBlocks.put(block, true) != null) {
            return;
        }
        mEvents.append("stored", List.of(block));
        if (mBlocks.size() > mCapacity) {
            Iterator<String> oldest = mBlocks.keySet().iterator();
            String evicted = oldest.next();
            oldest.remove();
            mEvents.append("evicted", List.of(evicted));
        }
    }

    synchronized void clear() {
        mBlocks.clear();
        mEvents.append("cleared", List.of());
    }

    synchronized Snapshot snapshot() {
        return new Snapshot(mEvents.sequence(), new ArrayList<>(mBlocks.keySet()));
    }

    synchronized int size() {
        return mBlocks.size();
    }

    int capacity() {
        return mCapacity;
    }

    /** All blocks as of a change's number. */
    record Snapshot(long sequence, List<String> blocks) {}
}
