package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

/**
 * Says of matching requests that they are alarms, drafts, or calls that may run at most once.
 *
 * <p>A rule for a model matches the request's model name; a rule for a service matches {@code
 * METHOD /path-prefix} below the service's name. Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace to which the rule applies
 * @param target the model or service
 * @param match for a service the method and path prefix ({@code POST /filings}); for a model the
 *     value of the caller's {@code user} field, or {@code *} for all
 * @param kind what matching requests are
 */
public record RequestRule(WorkspaceId workspace, String target, String match, RequestKind kind) {
    /** Checks that all parts are there. */
    public RequestRule {
        checkNotNull(workspace, "workspace");
        checkArgument(!target.isEmpty(), "target is empty");
        checkArgument(!match.isEmpty(), "match is empty");
        checkNotNull(kind, "kind");
    }
}
