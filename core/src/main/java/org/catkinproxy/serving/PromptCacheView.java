package org.catkinproxy.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * An estimate of the prompt parts that one prompt cache, of an engine or of a store, holds.
 *
 * <p>A part that a cache event reported counts until a later event changes it. A part of a prompt
 * that was just sent to the cache counts for a limited time before any event confirms it. Times are
 * in nanoseconds of the owner's monotonic clock. Not thread-safe.
 */
public final class PromptCacheView {
    /**
     * Limit of the entries of each map, far more than an engine can hold. Lost events leave stale
     * entries behind, so a map that reaches the limit is cleared.
     */
    private static final int MAX_ENTRIES = 50_000;

    /** How long a part that was sent counts as cached without an event that confirms it. */
    private static final long EXPECTED_TTL_NANOS = 4_000_000_000L;

    private final Map<Long, Integer> mStoredTokens = new HashMap<>();
    private final Map<Long, ExpectedPart> mExpected = new HashMap<>();

    /** A part that was sent to the cache and that no event has confirmed yet. */
    private record ExpectedPart(int tokens, long expiresAt) {}

    /** Sets how many tokens of a part the cache stores, 0 if it evicted the part. */
    public void setStoredTokens(String scope, long partId, int tokens) {
        setStoredTokens(Prompt.scopedHash(scope, partId), tokens);
    }

    /** Sets how many tokens of the part with {@code key} the cache stores, 0 if it was evicted. */
    public void setStoredTokens(long key, int tokens) {
        mExpected.remove(key);
        if (tokens <= 0) {
            mStoredTokens.remove(key);
            return;
        }
        clearIfFull(mStoredTokens);
        mStoredTokens.put(key, tokens);
    }

    /** Records that a prompt whose parts have {@code keys} was sent to the cache. */
    public void recordSent(Prompt prompt, long[] keys, long now) {
        clearIfFull(mExpected);
        for (int i = 0; i < keys.length; i++) {
            int tokens = prompt.parts().get(i).tokens();
            mExpected.put(keys[i], new ExpectedPart(tokens, now + EXPECTED_TTL_NANOS));
        }
    }

    /** Removes all entries, for example after a restart of the cache or a gap in its events. */
    public void clear() {
        mStoredTokens.clear();
        mExpected.clear();
    }

    /** Returns the token counts that events reported, by the key of the part. */
    public Map<Long, Integer> storedTokens() {
        return Map.copyOf(mStoredTokens);
    }

    /** Returns how many leading tokens of a prompt whose parts have {@code keys} are cached. */
    public int cachedTokens(Prompt prompt, long[] keys, long now) {
        int tokens = 0;
        for (int i = 0; i < keys.length; i++) {
            int length = prompt.parts().get(i).tokens();
            int cached = Math.min(length, partTokens(keys[i], now));
            tokens += cached;
            if (cached < length && !isWithinOneBlock(cached, length)) {
                break;
            }
        }
        return tokens;
    }

    /** A cache stores whole blocks, so the last incomplete block of a part may be missing. */
    private static boolean isWithinOneBlock(int cached, int length) {
        int block = 64;
        return cached > 0 && length - cached < block;
    }

    private int partTokens(long key, long now) {
        int stored = mStoredTokens.getOrDefault(key, 0);
        ExpectedPart expected = mExpected.get(key);
        boolean counts = expected != null && expected.expiresAt() - now > 0;
        return counts ? Math.max(stored, expected.tokens()) : stored;
    }

    private static void clearIfFull(Map<Long, ?> entries) {
        if (entries.size() >= MAX_ENTRIES) {
            entries.clear();
        }
    }
}
