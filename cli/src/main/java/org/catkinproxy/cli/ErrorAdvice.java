package org.catkinproxy.cli;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.Outcome;

/** Tells the operator what to do after an error of a daemon. Stateless and thread-safe. */
final class ErrorAdvice {
    private ErrorAdvice() {}

    static String forError(CatkinException error) {
        if (error.outcome() == Outcome.UNKNOWN) {
            return "The change may have taken effect: check with 'catkinctl sheet history',"
                    + " 'catkinctl instances' or 'catkinctl calls show' before you repeat it.";
        }
        switch (error.code()) {
            case REVISION_CONFLICT:
                return "Another operator was first; this command changed nothing: compare with"
                        + " 'catkinctl sheet diff FILE', then apply again.";
            case STORE_UNAVAILABLE:
                return "The platform's store is unavailable; requests are served under the"
                        + " revision in force and nothing was changed: retry when it is available.";
            case PEER_UNREACHABLE:
                return "Nothing was changed: check that the daemon is running, or name another with"
                        + " --server.";
            case MISSING_KEY:
            case UNKNOWN_KEY:
                return "Set an operator key with --key or CATKIN_OPERATOR_KEY.";
            case INVALID_SHEET:
                return "Nothing was changed: correct the rows and apply the whole sheet again.";
            case NOT_CONFIGURED:
                return "No sheet has been accepted yet: use 'catkinctl sheet apply FILE'.";
            case STOPPING:
                return "This instance is stopping: name another with --server.";
            case CALL_IN_PROGRESS:
                return "An attempt is still in progress: wait for its end, then check with"
                        + " 'catkinctl calls show'.";
            default:
                return "Nothing was changed.";
        }
    }
}
