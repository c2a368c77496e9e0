package org.catkinproxy.bench;

import org.catkinproxy.id.BlockKey;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A fake engine's cache: the block used longest ago goes first. Owned by the event loop. */
final class BlockCache {
    private final Map<BlockKey, Boolean> mBlocks = new LinkedHashMap<>(64, 0.75f, true);
    private final int mCapacity;

    BlockCache(int capacity) {
        mCapacity = capacity;
    }

    int size() {
        return mBlocks.size();
    }

    List<BlockKey> all() {
        return List.copyOf(mBlocks.keySet());
    }

    /** Returns how many leading blocks are held; changes nothing. */
    int match(List<BlockKey> keys) {
        int count = 0;
        while (count < keys.size() && mBlocks.containsKey(keys.get(count))) {
            count++;
        }
        return count;
    }

    /** Notes a use, so that a prefix outlives what is built on it. */
    void touch(List<BlockKey> keys, int count) {
        for (int i = count - 1; i >= 0; i--) {
            mBlocks.get(keys.get(i));
        }
    }

    /** Stores a block and returns those that had to go. */
    List<BlockKey> store(BlockKey key) {
        mBlocks.put(key, true);
        List<BlockKey> evicted = new ArrayList<>();
        Iterator<BlockKey> eldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mCapacity) {
            evicted.add(eldest.next());
            eldest.remove();
        }
        return evicted;
    }

    void clear() {
        mBlocks.clear();
    }
}
