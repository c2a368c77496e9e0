package org.catkinproxy.gateway;

import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.PromptCacheView;
import org.catkinproxy.serving.PromptStore;
import org.catkinproxy.serving.PromptStoreView;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The prompt stores of the configuration in force and the estimates of their contents.
 *
 * <p>A store that is configured without a break keeps its estimate. Used by the event loop only.
 */
final class PromptStoreViews {
    private final CacheTracker mCacheTracker;
    private final Map<PromptStore, PromptStoreView> mViews = new HashMap<>();

    PromptStoreViews(CacheTracker cacheTracker) {
        mCacheTracker = cacheTracker;
    }

    /** Tracks the contents of {@code stores} and drops all others. */
    void setStores(Collection<PromptStore> stores) {
        mViews.keySet().retainAll(stores);
        for (PromptStore store : stores) {
            if (!mViews.containsKey(store)) {
                add(store);
            }
        }
    }

    private void add(PromptStore store) {
        PromptStoreView view = new PromptStoreView(store, new PromptCacheView());
        mViews.put(store, view);
        mCacheTracker.track(
                store.address(),
                view.contents(),
                store.maxEventSubscribers(),
                () -> mViews.get(store) == view);
    }

    /** Returns the store responsible for a prompt, empty if there is none. */
    Optional<PromptStoreView> select(Prompt prompt) {
        return PromptStoreView.select(mViews.values(), prompt);
    }
}
