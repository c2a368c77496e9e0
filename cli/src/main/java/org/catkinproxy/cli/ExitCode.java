package org.catkinproxy.cli;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;

/** Exit codes of the process, one for each way a command can end. Immutable. */
enum ExitCode {
    OK(0, "done"),
    FAILED(1, "the tool or the daemon failed"),
    USAGE(2, "the command line is wrong"),
    REFUSED(3, "the daemon refused the request: bad key, unknown name, invalid sheet"),
    CONFLICT(4, "another change came first; nothing was changed"),
    UNREACHABLE(5, "a daemon or the store did not respond; nothing was changed"),
    TIMED_OUT(6, "accepted, but --wait timed out"),
    UNKNOWN(7, "the response was lost; the change may have taken effect");

    private final int mNumber;
    private final String mMeaning;

    ExitCode(int number, String meaning) {
        mNumber = number;
        mMeaning = meaning;
    }

    /** Returns the exit code for an error of a daemon or of the connection to it. */
    static ExitCode of(CatkinException error) {
        if (error.outcome() != Outcome.NOT_RUN) {
            return error.code() == ErrorCode.INTERNAL ? FAILED : UNKNOWN;
        }
        switch (error.code()) {
            case REVISION_CONFLICT:
            case STORE_CONFLICT:
            case CALL_IN_PROGRESS:
                return CONFLICT;
            case STORE_UNAVAILABLE:
            case PEER_UNREACHABLE:
            case STOPPING:
                return UNREACHABLE;
            case INTERNAL:
                return FAILED;
            default:
                return REFUSED;
        }
    }

    int number() {
        return mNumber;
    }

    String meaning() {
        return mMeaning;
    }
}
