package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * A Retry-After header in seconds, which may have fractions.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param text the value of the header
 * @param delay the delay, empty if the value is not a number of seconds
 */
public record RetryAfter(String text, Optional<Duration> delay) {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Checks that no component is null. */
    public RetryAfter {
        checkNotNull(text, "text");
        checkNotNull(delay, "delay");
    }

    /** Reads the value of a header. */
    public static RetryAfter parse(String text) {
        OptionalDouble seconds = DecimalText.parse(text);
        if (seconds.isEmpty()) {
            return new RetryAfter(text, Optional.empty());
        }
        long nanos = (long) (seconds.getAsDouble() * NANOS_PER_SECOND);
        return new RetryAfter(text, Optional.of(Duration.ofNanos(nanos)));
    }
}
