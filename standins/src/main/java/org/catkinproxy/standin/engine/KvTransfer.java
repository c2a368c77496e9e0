package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Moves cached blocks between an engine and the store of kept KV cache.
 *
 * <p>A kept block says whose it is; one of another workspace or other weights is not taken. Safe
 * for use by any thread.
 */
final class KvTransfer {
    private final PlatformClient mPlatform;
    private final BlockCache mCache;
    private final JsonNode mOwner;

    KvTransfer(PlatformClient platform, BlockCache cache, JsonNode body) {
        mPlatform = platform;
        mCache = cache;
        mOwner = body;
    }

    /** Keeps a block in the store, if it is cached, and tells whether it is there now. */
    boolean put(String block) throws IOException {
        return mCache.contains(block) && mPlatform.putKv(block, content(block));
    }

    /** Takes a block from the store, and tells whether it is cached now. */
    boolean take(String block) throws IOException {
        if (mCache.contains(block)) {
            return true;
        }
        Optional<byte[]> kept = mPlatform.getKv(block);
        if (kept.isEmpty() || !Arrays.equals(kept.get(), content(block))) {
            return false;
        }
        mCache.store(block);
        return true;
    }

    private byte[] content(String block) {
        ObjectNode content = Call.JSON.createObjectNode().put("block", block);
        content.set("workspace", mOwner.path("workspace"));
        content.set("weights", mOwner.path("weights"));
        return content.toString().getBytes(StandardCharsets.UTF_8);
    }
}
