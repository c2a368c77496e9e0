package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * The fields of an upstream's response head that the gateway reads.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param requestId the request that the response belongs to, empty if not stated
 * @param notRun whether the upstream states that it did not run the request
 * @param readAsNotRun whether callers take the status to mean that the request did not run
 * @param misdirected whether the upstream is not the expected process or has other weights
 * @param instance the responding instance, empty if not stated
 * @param signed whether the response carries the upstream's signature
 * @param contentEncoded whether the body has a content encoding, and so was changed on its way
 * @param weightsVersion the version of the engine's weights, empty if not stated
 * @param requestLimit the requests per second that the upstream accepts from all instances
 *     together, empty if it names no limit
 * @param leaving whether the upstream says that it leaves, and so accepts no new requests
 * @param retryAfter when the upstream accepts requests again, empty if not stated
 * @param keepAliveSeconds how long the upstream keeps an idle connection, empty if not stated
 * @param closesConnection whether the upstream closes the connection after the response
 */
public record ResponseHead(
        Optional<RequestId> requestId,
        boolean notRun,
        boolean readAsNotRun,
        boolean misdirected,
        Optional<InstanceId> instance,
        boolean signed,
        boolean contentEncoded,
        OptionalInt weightsVersion,
        OptionalDouble requestLimit,
        boolean leaving,
        Optional<RetryAfter> retryAfter,
        OptionalInt keepAliveSeconds,
        boolean closesConnection) {
    /**
     * Returns whether the response states its request and is signed. Without a request id, a
     * success may be a late copy of the response to an earlier request on the connection.
     */
    boolean isIdentified() {
        return signed && requestId.isPresent();
    }
}
