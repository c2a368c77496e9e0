package org.catkinproxy.gateway;

import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Reads decimal numbers that are not negative, with any number of decimals.
 *
 * <p>Stateless and thread-safe.
 */
public final class DecimalText {
    /** At most nine digits before the point, so that seconds fit a long in nanoseconds. */
    private static final Pattern DECIMAL = Pattern.compile("0*[0-9]{1,9}(\\.[0-9]*)?|\\.[0-9]+");

    private DecimalText() {}

    /** Returns the number that {@code text} stands for, empty if it is none, or 10^9 or more. */
    public static OptionalDouble parse(String text) {
        String trimmed = text.trim();
        return DECIMAL.matcher(trimmed).matches()
                ? OptionalDouble.of(Double.parseDouble(trimmed))
                : OptionalDouble.empty();
    }
}
