package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ModelId;

import java.util.List;

/**
 * The prompt of a request to a model engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param model the model that the request asks for
 * @param tokens the length of the whole prompt in tokens
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param parts the parts in order; only the last is specific to the request or its session
 */
public record Prompt(ModelId model, int tokens, int maxOutputTokens, List<PromptPart> parts) {
    /** The increment of SplitMix64, which {@link #mix} follows. */
    private static final long GOLDEN_GAMMA = 0x9e37_79b9_7f4a_7c15L;

    /** Validates the components. */
    public Prompt {
        checkNotNull(model, "model");
        checkArgument(tokens >= 0, "tokens is negative: %s", tokens);
        checkArgument(maxOutputTokens >= 0, "maxOutputTokens is negative: %s", maxOutputTokens);
        parts = List.copyOf(parts);
    }

    /** Returns the ids of the parts that other prompts may share: all but the last. */
    public long[] sharedPartIds() {
        return parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToLong(PromptPart::id)
                .toArray();
    }

    /** Returns the number of tokens in the parts that other prompts may share: all but the last. */
    public int sharedTokens() {
        int shared = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            shared += parts.get(i).tokens();
        }
        return shared;
    }

    /**
     * Returns the keys of the parts for a {@link PromptCacheView}, in the order of the parts.
     *
     * @param scope the cache scope; equal parts in different scopes have different keys
     */
    public long[] partKeys(String scope) {
        long[] keys = new long[parts.size()];
        for (int i = 0; i < keys.length; i++) {
            keys[i] = scopedHash(scope, parts.get(i).id());
        }
        return keys;
    }

    /**
     * Returns a 64-bit hash of {@code value} within {@code scope}. The hash of a part's id is the
     * part's key.
     */
    public static long scopedHash(String scope, long value) {
        return mix(value * GOLDEN_GAMMA ^ mix(scope.hashCode()));
    }

    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58_476d_1ce4_e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d0_49bb_1331_11ebL;
        return z ^ (z >>> 31);
    }
}
