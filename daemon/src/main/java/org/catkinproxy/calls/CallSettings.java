package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;

/**
 * The settings of a {@link CallRunner}.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param router the id of this entry instance
 * @param receiptKey the key that signs receipts, the same on all entry instances, at least 16 bytes
 * @param retention how long an idempotency key is valid; calls with an older key are rejected
 */
public record CallSettings(InstanceId router, byte[] receiptKey, Duration retention) {
    /** The default of {@link #retention}. */
    public static final Duration DEFAULT_RETENTION = Duration.ofDays(30);

    private static final int MIN_KEY_BYTES = 16;

    /** Copies the receipt key, and checks its length and the retention. */
    public CallSettings {
        checkNotNull(router, "router");
        checkArgument(receiptKey.length >= MIN_KEY_BYTES, "receiptKey is too short");
        receiptKey = receiptKey.clone();
        checkArgument(!retention.isNegative() && !retention.isZero(), "retention: %s", retention);
    }
}
