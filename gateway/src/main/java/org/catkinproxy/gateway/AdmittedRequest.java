package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.ServiceId;
import org.catkinproxy.serving.CacheScopes;
import org.catkinproxy.serving.Route;
import org.catkinproxy.serving.WorkspaceAccess;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * A caller's request that passed admission, unchanged.
 *
 * <p>The exchange that runs the request releases the body. Used by the event loop only.
 *
 * @param head the fields that the gateway reads
 * @param method the request method
 * @param uri the path and query
 * @param headers all headers
 * @param body the complete body
 * @param route the route of the request
 * @param access the access that the API key grants, empty if the request needs no key and has none
 */
record AdmittedRequest(
        RequestHead head,
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        ByteBuf body,
        Route route,
        Optional<WorkspaceAccess> access) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Checks that no required component is null. */
    AdmittedRequest {
        checkNotNull(head, "head");
        checkNotNull(body, "body");
        checkNotNull(route, "route");
        checkNotNull(access, "access");
    }

    /** Returns the shorter of the route's and the caller's timeout. */
    long timeoutNanos() {
        long timeout = route.timeout().toNanos();
        if (head.timeoutMillis().isPresent()) {
            timeout = Math.min(timeout, head.timeoutMillis().getAsLong() * NANOS_PER_MILLI);
        }
        return timeout;
    }

    /** Returns the request's service, which is the same for all requests with this id. */
    ServiceId service() {
        return route.selectService(head.id().value().hashCode());
    }

    /**
     * Returns the scope of the prompt; prompts of different scopes share no cache entries. A
     * workspace that was isolated at admission keeps its own scope.
     *
     * @param scopes the scopes of the newest configuration, which may be newer than the admission
     */
    String cacheScope(CacheScopes scopes) {
        return access.filter(a -> a.cacheIsolated() || scopes.isIsolated(a.workspace()))
                .map(a -> scopes.isolatedScope(a.workspace()))
                .orElse(scopes.sharedScope());
    }

    /**
     * Returns the priority at an engine, 0 is the highest; the workspace's priority takes
     * precedence over the route's.
     */
    int priority() {
        OptionalInt workspacePriority =
                access.map(WorkspaceAccess::priority).orElse(OptionalInt.empty());
        return workspacePriority.orElse(route.priority());
    }
}
