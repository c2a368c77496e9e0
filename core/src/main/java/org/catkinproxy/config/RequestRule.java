package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

/**
 * A rule that determines the kind of matching requests.
 *
 * <p>A rule for a model matches requests by their model and {@code user} field; a rule for a
 * service matches calls of the service by method and path prefix. Immutable and thread-safe.
 *
 * @param workspace the workspace to which the rule applies
 * @param target the name of the model or service
 * @param match {@code *} for all requests; otherwise, for a service, the method and a prefix of the
 *     path below the service's name, such as {@code POST /filings}, and for a model the value of
 *     the {@code user} field
 * @param kind the kind of matching requests
 */
public record RequestRule(WorkspaceId workspace, String target, String match, RequestKind kind) {
    /** Checks that no component is null or empty. */
    public RequestRule {
        checkNotNull(workspace, "workspace");
        checkArgument(!target.isEmpty(), "target is empty");
        checkArgument(!match.isEmpty(), "match is empty");
        checkNotNull(kind, "kind");
    }
}
