package org.catkinproxy.stream;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;

/**
 * The position of a caller in a streamed response, with which the caller can resume the response at
 * any entry instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace that sent the request
 * @param request the id of the request
 * @param engine the engine that generates the response
 * @param incarnation the incarnation of that engine
 * @param weights the weights that generate the response
 * @param requestDigest a digest of the request body, which prevents another request from resuming
 *     the response
 * @param sequence the sequence number of the last token that the caller has received, 0 if none
 */
public record ResumeToken(
        WorkspaceId workspace,
        RequestId request,
        EngineId engine,
        Incarnation incarnation,
        Weights weights,
        String requestDigest,
        long sequence) {
    /** Checks that no component is null and the sequence number is not negative. */
    public ResumeToken {
        checkNotNull(workspace, "workspace");
        checkNotNull(request, "request");
        checkNotNull(engine, "engine");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(weights, "weights");
        checkNotNull(requestDigest, "requestDigest");
        checkArgument(sequence >= 0, "sequence is negative: %s", sequence);
    }

    /** Returns the resume token of another position in the same response. */
    public ResumeToken withSequence(long newSequence) {
        return new ResumeToken(
                workspace, request, engine, incarnation, weights, requestDigest, newSequence);
    }
}
