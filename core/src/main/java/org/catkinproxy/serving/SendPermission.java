package org.catkinproxy.serving;

/**
 * Decides whether upstreams may get further requests, apart from their states.
 *
 * <p>Times are in nanoseconds of the owner's monotonic clock. Implementations need not be
 * thread-safe.
 */
public interface SendPermission {
    /** A permission without limits. */
    SendPermission UNLIMITED =
            new SendPermission() {
                @Override
                public boolean maySend(Upstream upstream, long now) {
                    return true;
                }

                @Override
                public boolean maySendSpare(Upstream upstream, long now) {
                    return true;
                }
            };

    /** Returns whether a request may be sent to {@code upstream} at {@code now}. */
    boolean maySend(Upstream upstream, long now);

    /** Returns whether a request may be sent that leaves room for another one. */
    boolean maySendSpare(Upstream upstream, long now);
}
