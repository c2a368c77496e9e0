package org.catkinproxy.operator;

import org.catkinproxy.admin.CallView;
import org.catkinproxy.admin.ResolveCallRequest;
import org.catkinproxy.id.CallKey;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;

/**
 * The requests about calls that may run once, as plain functions.
 *
 * <p>Stateless but for the port, and so safe for use by any thread.
 */
final class CallHandlers {
    private static final String OPEN = "open";

    private final CallAdmin mCalls;

    CallHandlers(CallAdmin calls) {
        mCalls = calls;
    }

    List<CallView> list(String state) {
        if (!state.equals(OPEN)) {
            throw OperatorJson.malformed("state: found '" + state + "', wants open");
        }
        return Waiting.await(mCalls.open());
    }

    CallView show(String workspace, String key) {
        CallKey call = parse(workspace, key);
        return Waiting.await(mCalls.find(call).switchIfEmpty(Waiting.missing("call " + call)));
    }

    CallView resolve(String workspace, String key, String body, String operator) {
        CallKey call = parse(workspace, key);
        ResolveCallRequest request = OperatorJson.read(body, ResolveCallRequest.class);
        if (request.ran() == null) {
            throw OperatorJson.malformed("ran: found nothing, wants true or false");
        }
        if (request.note() == null || request.note().isBlank()) {
            throw OperatorJson.malformed("note: found nothing, wants how the outcome is known");
        }
        return Waiting.await(mCalls.resolve(call, request.ran(), request.note(), operator));
    }

    private static CallKey parse(String workspace, String key) {
        try {
            return CallKey.of(WorkspaceId.of(workspace), IdempotencyKey.of(key));
        } catch (IllegalArgumentException e) {
            throw OperatorJson.malformed(e.getMessage());
        }
    }
}
