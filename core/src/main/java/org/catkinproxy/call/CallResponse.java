package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Arrays;

/**
 * A service's complete response to a call.
 *
 * <p>The body is not copied; immutable and thread-safe as long as nobody modifies the array.
 *
 * @param status the HTTP status code, 100 to 599
 * @param contentType the value of the Content-Type header, empty if the response had none
 * @param body the complete body
 */
public record CallResponse(int status, String contentType, byte[] body) {
    /** Checks that the status code is one of HTTP. */
    public CallResponse {
        checkArgument(
                status >= 100 && status <= 599, "status is not an HTTP status code: %s", status);
        checkNotNull(contentType, "contentType");
        checkNotNull(body, "body");
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof CallResponse that
                && status == that.status
                && contentType.equals(that.contentType)
                && Arrays.equals(body, that.body);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * status + contentType.hashCode()) + Arrays.hashCode(body);
    }

    @Override
    public String toString() {
        return "CallAnswer[status=" + status + ", bytes=" + body.length + "]";
    }
}
