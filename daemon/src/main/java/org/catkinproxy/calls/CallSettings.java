package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;

/**
 * The settings of the calls task.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param router this instance
 * @param receiptKey signs receipts; the same at all routers, at least 16 bytes
 * @param retention how long a key is answered for; an older one is refused
 */
public record CallSettings(InstanceId router, byte[] receiptKey, Duration retention) {
    /** How long a key is answered for where the settings name nothing else. */
    public static final Duration DEFAULT_RETENTION = Duration.ofDays(30);

    private static final int MIN_KEY_BYTES = 16;

    /** Copies the key and checks its length. */
    public CallSettings {
        checkNotNull(router, "router");
        checkArgument(receiptKey.length >= MIN_KEY_BYTES, "receiptKey is too short");
        receiptKey = receiptKey.clone();
        checkArgument(!retention.isNegative() && !retention.isZero(), "retention: %s", retention);
    }
}
