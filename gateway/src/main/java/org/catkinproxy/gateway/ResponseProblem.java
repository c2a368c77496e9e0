package org.catkinproxy.gateway;

import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.SendFailure;

import io.netty.handler.codec.http.HttpStatusClass;

import java.util.Optional;

/**
 * Why a full response of an upstream is not the answer to the request that it got.
 *
 * <p>Immutable and thread-safe.
 *
 * @param failure the kind of the attempt's failure
 * @param reason the reason, for the log
 */
record ResponseProblem(SendFailure failure, String reason) {
    /**
     * Returns the problem of a response, empty if it may be forwarded.
     *
     * @param isResumption whether the request resumes a stream of which the caller has a part
     */
    static Optional<ResponseProblem> find(
            ResponseHead head, int status, Route route, boolean isResumption) {
        if (head.notRun() || head.misdirected()) {
            return problem(SendFailure.REJECTED, "upstream responded with status " + status);
        }
        boolean isSuccess = HttpStatusClass.SUCCESS.contains(status);
        if (head.contentEncoded() || (isSuccess && !head.isIdentified())) {
            return problem(
                    SendFailure.GARBLED,
                    "response has a content encoding or lacks the signature or request id");
        }
        if (isResumption) {
            return problem(
                    SendFailure.ERROR_ANSWER,
                    "upstream responded to a resumed stream with status " + status);
        }
        if (head.readAsNotRun() && !route.isSafeToRetry()) {
            return problem(
                    SendFailure.ERROR_ANSWER,
                    "upstream responded with status " + status + " and may have run the request");
        }
        return Optional.empty();
    }

    private static Optional<ResponseProblem> problem(SendFailure failure, String reason) {
        return Optional.of(new ResponseProblem(failure, reason));
    }
}
