package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What the head of an upstream's answer says to the gateway.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the request that is answered, empty if the upstream does not say
 * @param notRun whether the upstream says that it did not run the request
 * @param misdirected whether the process is not the expected one, or has other weights
 * @param instance the process that answers, empty if not said
 * @param sealed whether the answer bears the upstream's signature
 * @param encoded whether the body was changed on its way
 * @param weightsVersion the version of the weights, empty if not said
 * @param idleSeconds how long the upstream keeps the connection, empty if not said
 * @param closes whether the upstream closes the connection after the answer
 */
public record AnswerHead(
        Optional<RequestId> id,
        boolean notRun,
        boolean misdirected,
        Optional<InstanceId> instance,
        boolean sealed,
        boolean encoded,
        OptionalInt weightsVersion,
        OptionalInt idleSeconds,
        boolean closes) {}
