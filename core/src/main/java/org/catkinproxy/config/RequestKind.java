package org.catkinproxy.config;

import java.util.Locale;

/**
 * The kind of a request, which determines its priority and whether it may be retried. Immutable.
 */
public enum RequestKind {
    /** An urgent request. */
    ALARM(Priority.ALARM, true),
    /** A request of the default kind. */
    NORMAL(Priority.NORMAL, true),
    /** A request that tolerates a delay. */
    DRAFT(Priority.DRAFT, true),
    /** A call of a service that may run at most once. */
    FILING(Priority.ALARM, false);

    private final Priority mPriority;
    private final boolean mIdempotent;

    RequestKind(Priority priority, boolean idempotent) {
        mPriority = priority;
        mIdempotent = idempotent;
    }

    /** Returns the priority of requests of this kind. */
    public Priority priority() {
        return mPriority;
    }

    /** Returns whether a request of this kind may run more than once. */
    public boolean isIdempotent() {
        return mIdempotent;
    }

    /** Returns the name used in sheets. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
