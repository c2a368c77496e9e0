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
 * The block keys of one prompt, first block first, with the prompt's size.
 *
 * <p>Only whole blocks have a key; the rest of the prompt is always computed. Immutable, and so
 * safe for use by any thread.
 *
 * @param keys one key for each whole block of the prompt
 * @param promptTokens the size of the whole prompt, in tokens
 */
public record PromptBlocks(List<BlockKey> keys, int promptTokens) {
    /** Tokens in one block. */
    public static final int TOKENS_PER_BLOCK = 1_024;

    /** Bytes of UTF-8 text that count as one token. */
    public static final int BYTES_PER_TOKEN = 4;

    private static final int BYTES_PER_BLOCK = TOKENS_PER_BLOCK * BYTES_PER_TOKEN;
    private static final int KEY_BYTES = 16;
    private static final HashFunction HASH = Hashing.sha256();

    /** Copies the keys and checks the size. */
    public PromptBlocks {
        keys = List.copyOf(keys);
        checkArgument(
                (long) keys.size() * TOKENS_PER_BLOCK <= promptTokens,
                "%s blocks do not fit in %s tokens",
                keys.size(),
                promptTokens);
    }

    /**
     * Returns the blocks of {@code prompt} as seen by one workspace under one set of weights.
     *
     * <p>Takes time linear in the length of the prompt.
     */
    public static PromptBlocks of(WorkspaceId workspace, Weights weights, String prompt) {
        checkNotNull(workspace, "workspace");
        checkNotNull(weights, "weights");
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        byte[] chain = seed(workspace, weights);
        List<BlockKey> keys = new ArrayList<>(bytes.length / BYTES_PER_BLOCK);
        for (int at = 0; at + BYTES_PER_BLOCK <= bytes.length; at += BYTES_PER_BLOCK) {
            chain =
                    HASH.newHasher()
                            .putBytes(chain)
                            .putBytes(bytes, at, BYTES_PER_BLOCK)
                            .hash()
                            .asBytes();
            keys.add(keyOf(chain));
        }
        return new PromptBlocks(keys, tokens(bytes.length));
    }

    /** Returns the number of tokens that {@code bytes} bytes of text count as. */
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

    /** Writes the length first, so that no two lists of names give the same bytes. */
    private static void putName(Hasher hasher, String name) {
        hasher.putInt(name.length()).putString(name, StandardCharsets.UTF_8);
    }

    private static BlockKey keyOf(byte[] hash) {
        return new BlockKey(
                Longs.fromByteArray(hash),
                Longs.fromByteArray(Arrays.copyOfRange(hash, KEY_BYTES / 2, KEY_BYTES)));
    }
}
