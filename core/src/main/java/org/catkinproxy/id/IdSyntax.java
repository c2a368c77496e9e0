package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.regex.Pattern;

/** Validates the syntax of the ids that this project chooses. Stateless and thread-safe. */
final class IdSyntax {
    private static final Pattern ID_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    private IdSyntax() {}

    static String check(String kind, String value) {
        checkNotNull(value, "%s is null", kind);
        checkArgument(
                ID_PATTERN.matcher(value).matches(),
                "%s must be 1 to 128 letters, digits, '.', '_', ':' or '-', and start with a letter"
                        + " or digit: '%s'",
                kind,
                value);
        return value;
    }
}
