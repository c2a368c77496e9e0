package org.catkinproxy.limit;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.serving.UpstreamStart;

import java.util.OptionalDouble;

/**
 * What the newest known response of an upstream said about its limit.
 *
 * <p>Immutable and thread-safe.
 *
 * @param upstream the upstream
 * @param perSecond the requests per second that it accepts from all instances together, empty for
 *     no limit
 * @param respondedAt when the response arrived at the instance that got it, in ns
 */
public record RequestLimit(UpstreamStart upstream, OptionalDouble perSecond, long respondedAt) {
    /** Share of a limit by which it may change without being told to others at once. */
    private static final double MIN_CHANGE = 0.05;

    /** Validates the components. */
    public RequestLimit {
        checkNotNull(upstream, "upstream");
        perSecond.ifPresent(l -> checkArgument(l >= 0, "perSecond is negative: %s", l));
    }

    /** Returns whether the two limits differ enough to matter. */
    boolean differsFrom(RequestLimit other) {
        if (perSecond.isEmpty() || other.perSecond.isEmpty()) {
            return perSecond.isPresent() != other.perSecond.isPresent();
        }
        double limit = perSecond.getAsDouble();
        return Math.abs(limit - other.perSecond.getAsDouble()) > MIN_CHANGE * limit;
    }

    /** Returns the limit with {@code nanos} added to its time. */
    RequestLimit plusNanos(long nanos) {
        return new RequestLimit(upstream, perSecond, respondedAt + nanos);
    }
}
