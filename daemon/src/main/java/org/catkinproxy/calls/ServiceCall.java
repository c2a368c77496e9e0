package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.RequestKind;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.id.WorkspaceId;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A caller's call to a plain service.
 *
 * <p>Immutable, provided that the body's bytes, which are not copied, are not modified.
 *
 * @param workspace the workspace that calls
 * @param service the service to call
 * @param method the HTTP method
 * @param path the path and query after the service's name, starting with a slash
 * @param contentType the body's content type, or an empty string if there is none
 * @param body the request body, possibly empty
 * @param idempotencyKey the caller's idempotency key; required for an at-most-once call
 * @param kind the configured kind of the call, which decides whether it may be retried
 * @param instances the live instances of the service, in order of preference
 * @param timeout how long the caller waits for the result
 * @param receipt the receipt of an earlier failed attempt, if the caller sent one
 * @param serviceHasOneWorkspace whether no other workspace calls the same service, so that the
 *     status that the service reports for a key can only concern this workspace
 */
public record ServiceCall(
        WorkspaceId workspace,
        ServiceId service,
        String method,
        String path,
        String contentType,
        byte[] body,
        Optional<IdempotencyKey> idempotencyKey,
        RequestKind kind,
        List<ServiceInstance> instances,
        Duration timeout,
        Optional<String> receipt,
        boolean serviceHasOneWorkspace) {
    /** Copies the instances, and checks the path and the timeout. */
    public ServiceCall {
        checkNotNull(workspace, "workspace");
        checkNotNull(service, "service");
        checkNotNull(method, "method");
        checkArgument(path.startsWith("/"), "path does not start with a slash: %s", path);
        checkNotNull(contentType, "contentType");
        checkNotNull(body, "body");
        checkNotNull(idempotencyKey, "idempotencyKey");
        checkNotNull(kind, "kind");
        instances = List.copyOf(instances);
        checkArgument(!timeout.isNegative(), "timeout is negative: %s", timeout);
        checkNotNull(receipt, "receipt");
    }
}
