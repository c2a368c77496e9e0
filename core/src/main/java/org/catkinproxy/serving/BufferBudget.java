package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A limit for the memory of all buffered responses of a process together.
 *
 * <p>Upstreams in trouble may send bodies without end, many at once. While all buffers together
 * stay within the limit, each response may use what it needs; once they exceed it, the largest one
 * has to be dropped. Responses of the usual size are thus not affected by an endless one.
 *
 * <p>The buffered bytes of all owners together are their total at any time. Not thread-safe.
 *
 * @param <T> the owner of a buffer, compared by {@code equals}
 */
public final class BufferBudget<T> {
    private final long mMaxBytes;
    private final Map<T, Long> mBytesByOwner = new HashMap<>();
    private long mTotalBytes;

    private BufferBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns a budget of {@code maxBytes} of which nothing is used. */
    public static <T> BufferBudget<T> of(long maxBytes) {
        checkArgument(maxBytes > 0, "maxBytes is not positive: %s", maxBytes);
        return new BufferBudget<>(maxBytes);
    }

    /**
     * Records how much an owner buffers now.
     *
     * @param bytes the size of the owner's buffer, 0 if it was released
     * @return the owner whose buffer has to be dropped, empty while the limit is kept; the caller
     *     records that drop with a further call
     */
    public Optional<T> record(T owner, long bytes) {
        checkArgument(bytes >= 0, "bytes is negative: %s", bytes);
        Long previous = bytes == 0 ? mBytesByOwner.remove(owner) : mBytesByOwner.put(owner, bytes);
        mTotalBytes += bytes - (previous == null ? 0 : previous);
        return mTotalBytes <= mMaxBytes ? Optional.empty() : largestOwner();
    }

    private Optional<T> largestOwner() {
        return mBytesByOwner.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }

    /** Returns the bytes that all owners buffer together. */
    public long totalBytes() {
        return mTotalBytes;
    }
}
