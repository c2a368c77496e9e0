package org.catkinproxy.cache;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;

import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The block keys of one prompt, in order, and the prompt's size.
 *
 * <p>Only whole blocks have a key and can be cached; the rest of the prompt is always computed.
 * Immutable and thread-safe.
 *
 * @param keys the keys of the prompt's whole blocks
 * @param promptTokens the size of the whole prompt, in tokens
 */
public record PromptBlocks(List<BlockKey> keys, int promptTokens) {
    /** The size of a block, in tokens. */
    public static final int TOKENS_PER_BLOCK = 1_024;

    /** The number of bytes of UTF-8 text that are counted as one token. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BYTES_PER_BLOCK = TOKENS_PER_BLOCK * BYTES_PER_TOKEN;
    private static final int KEY_BYTES = 16;
    private static final HashFunction HASH = Hashing.sha256();

    /** Copies the keys and checks that they fit in the prompt. */
    public PromptBlocks {
        keys = List.copyOf(keys);
        checkArgument(
                (long) keys.size() * TOKENS_PER_BLOCK <= promptTokens,
                "%s blocks do not fit in %s tokens",
                keys.size(),
                promptTokens);
    }

    /**
     * Returns the blocks of {@code prompt} for one workspace and one set of weights.
     *
     * <p>Each key is a hash over the workspace, the weights and all of the prompt up to the end of
     * the block, so equal keys mean equal prefixes of one workspace under the same weights. Takes
     * time linear in the length of the prompt.
     */
    public static PromptBlocks of(WorkspaceId workspace, Weights weights, String prompt) {
        checkNotNull(workspace, "workspace");
        checkNotNull(weights, "weights");
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        byte[] chain = seed(workspace, weights);
        List<BlockKey> keys = new ArrayList<>(bytes.length / BYTES_PER_BLOCK);
        for (int start = 0; start + BYTES_PER_BLOCK <= bytes.length; start += BYTES_PER_BLOCK) {
            chain =
                    HASH.newHasher()
                            .putBytes(chain)
                            .putBytes(bytes, start, BYTES_PER_BLOCK)
                            .hash()
                            .asBytes();
            keys.add(keyOf(chain));
        }
        return new PromptBlocks(keys, tokens(bytes.length));
    }

    /** Returns the number of tokens that a UTF-8 text of {@code bytes} bytes is counted as. */
    public static int tokens(int bytes) {
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    private static byte[] seed(WorkspaceId workspace, Weights weights) {
        Hasher hasher = HASH.newHasher();
        putName(hasher, workspace.value());
        putName(hasher, weights.model().value());
        putName(hasher, weights.adapter().value());
        putName(hasher, weights.version().value());
        HashCode code = hasher.hash();
        return code.asBytes();
    }

    /** Hashes the length before the name, so that different lists of names hash different bytes. */
    private static void putName(Hasher hasher, String name) {
        hasher.putInt(name.length()).putString(name, StandardCharsets.UTF_8);
    }

    private static BlockKey keyOf(byte[] hash) {
        return new BlockKey(
                Longs.fromByteArray(hash),
                Longs.fromByteArray(Arrays.copyOfRange(hash, KEY_BYTES / 2, KEY_BYTES)));
    }
}
