package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.Faults;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * The numbered changes of one incarnation's cache, each shown after a lag.
 *
 * <p>A change always takes a number, also if a fault drops it. Safe for use by any thread.
 */
final class CacheEvents {
    private static final int RETAINED = 20_000;

    private final String mIncarnation;
    private final Duration mLag;
    private final Faults mFaults;
    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private long mSequence;

    CacheEvents(String incarnation, Duration lag, Faults faults) {
        mIncarnation = incarnation;
        mLag = lag;
        mFaults = faults;
    }

    synchronized void append(String change, List<String> blocks) {
        mSequence++;
        if (mFaults.take("drop_cache_events").isPresent()) {
            return;
        }
        Duration lag = mFaults.take("delay_cache_events").map(Fault::delay).orElse(mLag);
        long shown = System.nanoTime() + lag.toNanos();
        mEntries.addLast(new Entry(mSequence, shown, toJson(change, blocks)));
        if (mEntries.size() > RETAINED) {
            mEntries.removeFirst();
        }
    }

    synchronized long sequence() {
        return mSequence;
    }

    /** Returns the changes after {@code sequence} that may be shown now, oldest first. */
    synchronized List<Entry> after(long sequence) {
        long now = System.nanoTime();
        List<Entry> shown = new ArrayList<>();
        for (Entry entry : mEntries) {
            if (entry.sequence() <= sequence) {
                continue;
            }
            if (entry.shownNanos() - now > 0) {
                break;
            }
            shown.add(entry);
        }
        return shown;
    }

    private ObjectNode toJson(String change, List<String> blocks) {
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("incarnation", mIncarnation).put("seq", mSequence).put("change", change);
        ArrayNode list = json.putArray("blocks");
        blocks.forEach(list::add);
        return json;
    }

    /** One change, and when it may be shown. */
    record Entry(long sequence, long shownNanos, ObjectNode json) {}
}
