package org.catkinproxy.caller;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import io.jooby.Context;

import java.time.Duration;

/** Parses the header that says how long a caller waits. Stateless; safe for use by any thread. */
final class DeadlineHeader {
    private static final String HEADER = "Catkin-Deadline-Ms";

    private DeadlineHeader() {}

    /**
     * Returns the timeout in the header, clamped to the limits, or the default if there is no
     * header.
     */
    static Duration read(Context ctx, CallerLimits limits) {
        String text = ctx.header(HEADER).value("");
        if (text.isEmpty()) {
            return limits.defaultDeadline();
        }
        try {
            long millis = Long.parseLong(text);
            long maxMillis = limits.maxDeadline().toMillis();
            return Duration.ofMillis(Math.max(1, Math.min(millis, maxMillis)));
        } catch (NumberFormatException e) {
            throw CatkinException.notRun(
                    ErrorCode.MALFORMED_BODY,
                    Step.PARSE,
                    CatkinException.NO_PEER,
                    HEADER + " is not an integer");
        }
    }
}
