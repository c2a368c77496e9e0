package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * A prompt store and an estimate of its contents.
 *
 * <p>The store helps when there are more shared prompts than fit into the engines' memory: an
 * engine copies an evicted prompt back instead of computing it again. Not thread-safe.
 *
 * @param store the store
 * @param contents the estimated contents of the store
 */
public record PromptStoreView(PromptStore store, PromptCacheView contents) {
    /** Validates the components. */
    public PromptStoreView {
        checkNotNull(store, "store");
        checkNotNull(contents, "contents");
    }

    /** Returns the address at which engines reach the store. */
    public HostAndPort address() {
        return store.address();
    }

    /**
     * Returns the store in which to save {@code prompt}, empty if there is none. Prompts that
     * differ only in their last part get the same store, so that the shared parts are saved once.
     */
    public static Optional<PromptStoreView> select(
            Collection<PromptStoreView> stores, Prompt prompt) {
        if (prompt.parts().isEmpty()) {
            return Optional.empty();
        }
        int lastShared = Math.max(0, prompt.parts().size() - 2);
        long partId = prompt.parts().get(lastShared).id();
        return stores.stream()
                .max(
                        Comparator.comparingLong(
                                s -> Prompt.scopedHash(s.address().toString(), partId)));
    }
}
