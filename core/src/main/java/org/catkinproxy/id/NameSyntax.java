package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Validates ids that others choose, such as the names in an operator's configuration.
 *
 * <p>They are any text that a header can carry, so that they can be passed on. Ids that this
 * project chooses itself are narrower, see {@link IdSyntax}. Stateless and thread-safe.
 */
final class NameSyntax {
    private static final int MAX_LENGTH = 4_096;
    private static final char DELETE = 0x7f;

    private NameSyntax() {}

    static String check(String kind, String value) {
        checkNotNull(value, "%s is null", kind);
        checkArgument(
                !value.isEmpty() && value.length() <= MAX_LENGTH,
                "%s is empty or longer than %s characters",
                kind,
                MAX_LENGTH);
        checkArgument(
                !isBlank(value.charAt(0)) && !isBlank(value.charAt(value.length() - 1)),
                "%s begins or ends with a blank: '%s'",
                kind,
                value);
        checkArgument(
                value.codePoints().allMatch(NameSyntax::isText),
                "%s has a control character or half a character: '%s'",
                kind,
                value);
        return value;
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean isText(int codePoint) {
        return codePoint >= ' '
                && codePoint != DELETE
                && Character.getType(codePoint) != Character.SURROGATE;
    }
}
