package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.UpstreamChooser;

import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Writes the log lines of one request, each with the request's id and what decided the step.
 *
 * <p>Used by the event loop only.
 */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final String NO_PROMPT = "none";

    private final Gateway mGateway;
    private final RequestId mRequest;
    private final String mRoute;
    private final Optional<Prompt> mPrompt;

    RequestLog(Gateway gateway, AdmittedRequest request) {
        mGateway = gateway;
        mRequest = request.head().id();
        mRoute = request.route().name();
        mPrompt = request.head().prompt();
    }

    private static String sharedPartsInHex(Prompt prompt) {
        return LongStream.of(prompt.sharedPartIds())
                .mapToObj(Long::toHexString)
                .collect(Collectors.joining(","));
    }

    void callerGone(int sends) {
        mGateway.log().record(GatewayEvent.CALLER_GONE, "request", mRequest, "sends", sends);
    }

    /**
     * Writes that the end of the process cuts the request off.
     *
     * @param quietNanos the time since the upstream has sent something
     */
    void cut(int sends, boolean begun, long openNanos, long quietNanos) {
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_CUT,
                        "request",
                        mRequest,
                        "route",
                        mRoute,
                        "sends",
                        sends,
                        "begun",
                        begun,
                        "open_ms",
                        millis(openNanos),
                        "quiet_ms",
                        millis(quietNanos));
    }

    void placed(UpstreamChooser.Choice choice) {
        InstanceId upstream = choice.target().upstream().id();
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_PLACED,
                        "request",
                        mRequest,
                        "route",
                        mRoute,
                        "upstream",
                        upstream,
                        "uncached",
                        choice.uncachedTokens(),
                        "source",
                        choice.fetchFrom().map(HostAndPort::toString).orElse("none"),
                        "expected_ms",
                        (long) (choice.firstTokenNanos() / NANOS_PER_MILLI),
                        "in_flight",
                        choice.target().inFlight(),
                        "peer_requests",
                        mGateway.peerLoads().total(upstream).requests(),
                        "config",
                        mGateway.configVersion());
    }

    void sendFailed(UpstreamAttempt attempt, SendFailure failure, String reason, long now) {
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_SEND_FAILED,
                        "request",
                        mRequest,
                        "upstream",
                        attempt.upstream().id(),
                        "failure",
                        failure,
                        "reason",
                        reason,
                        "after_ms",
                        millis(now - attempt.startedAt()),
                        "begun",
                        attempt.accounting().hasOutput(),
                        "connection",
                        attempt.connectionUse().connection(),
                        "earlier_requests",
                        attempt.connectionUse().earlierRequests(),
                        "parts",
                        mPrompt.map(RequestLog::sharedPartsInHex).orElse(NO_PROMPT));
    }

    void upstreamSuspect(InstanceId upstream, SendFailure failure) {
        mGateway.log()
                .record(GatewayEvent.UPSTREAM_SUSPECT, "upstream", upstream, "failure", failure);
    }

    void resumed(InstanceId upstream, long afterEvent) {
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_RESUMED,
                        "request",
                        mRequest,
                        "upstream",
                        upstream,
                        "after_event",
                        afterEvent);
    }

    void refused(String code, String reason, int sends, long leftMillis, long retryAfterMillis) {
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_REFUSED,
                        "request",
                        mRequest,
                        "code",
                        code,
                        "reason",
                        reason,
                        "sends",
                        sends,
                        "left_ms",
                        leftMillis,
                        "come_back_ms",
                        retryAfterMillis,
                        "config",
                        mGateway.configVersion());
    }

    /**
     * Writes the last line of the request.
     *
     * @param firstEventNanos the time to the first event of a stream, negative for none
     */
    void ended(String outcome, int sends, long firstEventNanos, long tookNanos) {
        mGateway.log()
                .record(
                        GatewayEvent.REQUEST_ENDED,
                        "request",
                        mRequest,
                        "route",
                        mRoute,
                        "outcome",
                        outcome,
                        "sends",
                        sends,
                        "first_ms",
                        firstEventNanos < 0 ? -1 : millis(firstEventNanos),
                        "took_ms",
                        millis(tookNanos));
    }

    private static long millis(long nanos) {
        return nanos / NANOS_PER_MILLI;
    }
}
