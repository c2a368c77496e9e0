package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.AttemptId;

import java.util.Optional;

/**
 * The parameters of one attempt at a call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param claim the record by which the attempt claims the call; its creation time is the start of
 *     the attempt
 * @param instanceCount the number of instances of the service that may be tried
 * @param abandoned an earlier attempt that was never sent and never will be, as certified by a
 *     valid receipt in the caller's request
 * @param statusTrusted whether the status that the service reports for the key is reliable
 * @param retentionMillis how long requests with a key are accepted after its first claim, in
 *     milliseconds
 */
public record CallAttemptSpec(
        CallRecord claim,
        int instanceCount,
        Optional<AttemptId> abandoned,
        boolean statusTrusted,
        long retentionMillis) {
    /** Checks that the claim is in state claimed and the numbers are in range. */
    public CallAttemptSpec {
        checkArgument(
                claim.state() == CallState.CLAIMED, "claim has the wrong state: %s", claim.state());
        checkArgument(instanceCount >= 0, "instanceCount is negative: %s", instanceCount);
        checkNotNull(abandoned, "abandoned");
        checkArgument(retentionMillis > 0, "retentionMillis is not positive: %s", retentionMillis);
    }

    /** Returns the id of this attempt. */
    AttemptId attemptId() {
        return claim.attempt();
    }
}
