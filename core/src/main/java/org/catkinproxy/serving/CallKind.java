package org.catkinproxy.serving;

/**
 * The execution semantics of a route's requests and the form of their responses.
 *
 * <p>Immutable and thread-safe.
 */
public enum CallKind {
    /** An upstream may execute the request any number of times. */
    IDEMPOTENT {
        @Override
        public boolean isSafeToRetry(boolean resumable) {
            return true;
        }

        @Override
        public boolean isCancelledOnDisconnect() {
            return true;
        }
    },
    /** The request may be executed at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean isSafeToRetry(boolean resumable) {
            return false;
        }

        @Override
        public boolean isCancelledOnDisconnect() {
            return false;
        }
    },
    /** The response is a stream of events; only a resumable stream may be executed again. */
    STREAM {
        @Override
        public boolean isSafeToRetry(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean isCancelledOnDisconnect() {
            return true;
        }
    };

    /**
     * Returns whether a request may be sent again after an upstream may have executed it.
     *
     * @param resumable whether the route's streams can be resumed
     */
    public abstract boolean isSafeToRetry(boolean resumable);

    /** Returns whether the upstream's work is cancelled when the caller disconnects. */
    public abstract boolean isCancelledOnDisconnect();
}
