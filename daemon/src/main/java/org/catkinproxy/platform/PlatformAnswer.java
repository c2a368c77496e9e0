package org.catkinproxy.platform;

/**
 * An answer of the platform, whole.
 *
 * <p>The body is not copied: whoever holds it does not change it.
 *
 * @param status the HTTP status
 * @param body the bytes of the body
 */
record PlatformAnswer(int status, byte[] body) {
    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;
    private static final int NOT_FOUND = 404;

    boolean isSuccess() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }

    boolean isNotFound() {
        return status == NOT_FOUND;
    }
}
