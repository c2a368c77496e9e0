package org.catkinproxy.error;

import java.util.Locale;

/** The stable codes of all errors, with their HTTP statuses. Immutable. */
public enum ErrorCode {
    INVALID_SETTINGS(500, "the settings file is not valid"),
    MISSING_KEY(401, "no bearer key was given"),
    UNKNOWN_KEY(401, "the bearer key is unknown"),
    FORBIDDEN(403, "the bearer key does not permit this operation"),
    NOT_FOUND(404, "there is no resource with this name"),
    UNKNOWN_MODEL(404, "no model with this name is assigned to the workspace"),
    UNKNOWN_SERVICE(404, "no service with this name is assigned to the workspace"),
    MALFORMED_BODY(400, "the body is malformed"),
    WRONG_CONTENT_TYPE(415, "the content type is not supported"),
    BODY_TOO_LARGE(413, "the body exceeds the size limit"),
    SLOW_SENDER(408, "the body was not received in time"),
    MISSING_IDEMPOTENCY_KEY(400, "a call that may run at most once needs an idempotency key"),
    IDEMPOTENCY_KEY_REUSED(422, "the idempotency key was used with a different request"),
    IDEMPOTENCY_KEY_EXPIRED(
            422, "the idempotency key is older than the retention time of responses"),
    CALL_RESOLVED(409, "an operator resolved the call, and no response is recorded"),
    CALL_IN_PROGRESS(409, "another attempt at the call is in progress"),
    CALL_OUTCOME_UNKNOWN(502, "it is unknown whether the call ran"),
    DEADLINE_UNREACHABLE(503, "the deadline cannot be met"),
    QUEUE_FULL(503, "too many requests are queued"),
    RATE_LIMITED(429, "the workspace exceeds its rate limit"),
    NO_ENGINE(503, "no engine currently serves these weights"),
    ENGINE_UNREACHABLE(502, "the engine could not be reached"),
    STREAM_BROKEN(502, "the stream could not be continued"),
    STREAM_MISMATCH(502, "the engine sent an event that does not belong to the stream"),
    WRONG_WEIGHTS(502, "the engine responded with other weights"),
    INVALID_RESUME_TOKEN(400, "the resume token is not valid"),
    SERVICE_UNREACHABLE(502, "the service could not be reached"),
    STORE_UNAVAILABLE(503, "the store did not respond"),
    STORE_CONFLICT(409, "the row was changed by another writer"),
    REVISION_CONFLICT(409, "another revision was accepted first"),
    INVALID_SHEET(422, "the sheet has errors"),
    CONFIG_UNUSABLE(503, "the configuration of the route or the workspace cannot be read"),
    NOT_CONFIGURED(503, "no configuration has been received yet"),
    STOPPING(503, "the instance is stopping"),
    PEER_UNREACHABLE(502, "the peer instance could not be reached"),
    STALE_ORDER(409, "the order has a stale fencing number"),
    MALFORMED_HEAD(400, "the request head is malformed"),
    HEAD_TOO_LARGE(431, "the request head exceeds the size limit"),
    NO_ROUTE(404, "no route matches the host and path"),
    NO_UPSTREAM(503, "no upstream of the service currently accepts requests"),
    PROMPT_QUARANTINED(503, "the prompt has parts that crash engines"),
    UPSTREAM_FAILED(502, "the response of the upstream was incomplete"),
    TIMED_OUT(504, "no response was received in time"),
    OUTDATED_STORE_RESPONSE(503, "the response is from an earlier era of the store"),
    HISTORY_GONE(410, "the store no longer has the requested changes"),
    INTERNAL(500, "an internal error occurred");

    private static final int FIRST_SERVER_ERROR = 500;

    private final int mHttpStatus;
    private final String mMeaning;

    ErrorCode(int httpStatus, String meaning) {
        mHttpStatus = httpStatus;
        mMeaning = meaning;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns a description of the error, for error messages. */
    public String meaning() {
        return mMeaning;
    }

    /**
     * Returns whether the status is 5xx: the caller could not avoid the error, so it counts against
     * the service level.
     */
    public boolean isServerError() {
        return mHttpStatus >= FIRST_SERVER_ERROR;
    }

    /** Returns the name used in error bodies, logs and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
