package org.catkinproxy.standin.engine;

import org.catkinproxy.standin.WeightsName;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The weights that an engine has or is loading. Safe for use by any thread; one lock. */
final class LoadedWeights {
    private final Map<WeightsName, Boolean> mWeights = new LinkedHashMap<>();

    LoadedWeights(Collection<WeightsName> loaded) {
        loaded.forEach(w -> mWeights.put(w, true));
    }

    /** Notes that a load begins, and tells whether it is needed. */
    synchronized boolean begin(WeightsName weights) {
        return mWeights.putIfAbsent(weights, false) == null;
    }

    /** Notes that a load is done, unless the weights were unloaded meanwhile. */
    synchronized void finish(WeightsName weights) {
        mWeights.replace(weights, true);
    }

    synchronized void remove(WeightsName weights) {
        mWeights.remove(weights);
    }

    synchronized boolean has(WeightsName weights) {
        return mWeights.getOrDefault(weights, false);
    }

    synchronized List<WeightsName> loaded() {
        return mWeights.entrySet().stream()
                .filter(Map.Entry::getValue)
                .map(Map.Entry::getKey)
                .toList();
    }

    synchronized List<Entry> all() {
        List<Entry> entries = new ArrayList<>();
        mWeights.forEach((w, loaded) -> entries.add(new Entry(w, loaded)));
        return entries;
    }

    /** Weights, and whether the load is done. */
    record Entry(WeightsName weights, boolean isLoaded) {}
}
