package org.catkinproxy.syntax;

/**
 * Which characters and status codes a response may have by RFC 9110 and RFC 9112.
 *
 * <p>Stateless and thread-safe.
 */
public final class HttpSyntax {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
    private static final int DELETE = 0x7f;

    private HttpSyntax() {}

    /** Returns whether a response may have this status code. */
    public static boolean isStatus(int code) {
        return code >= MIN_STATUS && code <= MAX_STATUS;
    }

    /** Returns whether the name of a field may have this character. */
    public static boolean isTokenCharacter(int c) {
        return (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || isDigit(c)
                || TOKEN_MARKS.indexOf(c) >= 0;
    }

    /** Returns whether a character is a control character that no line may contain. */
    public static boolean isControl(int c) {
        return (c >= 0 && c < ' ' && c != '\t') || c == DELETE;
    }

    /** Returns whether a character is a decimal digit. */
    public static boolean isDigit(int c) {
        return c >= '0' && c <= '9';
    }
}
