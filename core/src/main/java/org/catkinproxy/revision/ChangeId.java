package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/**
 * Identifies one attempt to have a sheet accepted, uniquely over all instances.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value 1 to 64 ASCII letters, digits or {@code -}
 */
public record ChangeId(String value) {
    private static final Pattern FORMAT = Pattern.compile("[A-Za-z0-9-]{1,64}");

    /** Checks the format. */
    public ChangeId {
        checkNotNull(value, "value");
        checkArgument(FORMAT.matcher(value).matches(), "malformed change id: '%s'", value);
    }

    /** Returns the id with the text {@code value}. */
    public static ChangeId of(String value) {
        return new ChangeId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
