package org.catkinproxy.cli;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.PrintStream;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The environment of one command run: the client, the output streams and the wait timeout.
 *
 * <p>Not thread-safe.
 */
final class CommandContext {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final Supplier<OperatorClient> mClientSupplier;
    private final PrintStream mOut;
    private final PrintStream mErr;
    private final boolean mJson;
    private final Duration mWaitTimeout;

    CommandContext(
            Supplier<OperatorClient> clientSupplier,
            PrintStream out,
            PrintStream err,
            boolean json,
            Duration waitTimeout) {
        mClientSupplier = checkNotNull(clientSupplier, "clientSupplier");
        mOut = checkNotNull(out, "out");
        mErr = checkNotNull(err, "err");
        mJson = json;
        mWaitTimeout = checkNotNull(waitTimeout, "waitTimeout");
    }

    /** Creates the client; a command that needs no daemon runs without a valid server URL. */
    OperatorClient client() {
        return mClientSupplier.get();
    }

    /** Prints the message as JSON with {@code --json}, otherwise the text. */
    void print(Object message, Object text) {
        if (mJson) {
            mOut.println(toJson(message));
        } else {
            mOut.print(text);
            if (!text.toString().endsWith("\n")) {
                mOut.println();
            }
        }
    }

    /** Prints a progress line to the error stream, which is not part of the result. */
    void printProgress(String line) {
        mErr.println(line);
    }

    /**
     * Polls the condition until it is true or the wait timeout passes; returns whether it is true.
     */
    boolean waitUntil(BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + mWaitTimeout.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos >= 0) {
                return false;
            }
            sleepPollInterval();
        }
        return true;
    }

    /** Returns the maximum time that {@link #waitUntil} waits. */
    Duration waitTimeout() {
        return mWaitTimeout;
    }

    private static void sleepPollInterval() {
        try {
            Thread.sleep(POLL_INTERVAL.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(ExitCode.FAILED, "interrupted while waiting");
        }
    }

    private static String toJson(Object message) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(message);
        } catch (JsonProcessingException e) {
            // Does not happen: a record of plain values is always writable as JSON.
            throw new IllegalStateException("record can not be written as JSON", e);
        }
    }
}
