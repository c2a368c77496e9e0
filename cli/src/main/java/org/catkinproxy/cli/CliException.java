package org.catkinproxy.cli;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Ends a command with an exit code and a message for the operator. Immutable except for the trace.
 */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode mExitCode;

    CliException(ExitCode exitCode, String message) {
        super(message);
        mExitCode = checkNotNull(exitCode, "exitCode");
    }

    ExitCode exitCode() {
        return mExitCode;
    }
}
