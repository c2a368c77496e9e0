package org.catkinproxy.admin;

/**
 * A call that may run at most once, with the state of its row.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the id of the workspace
 * @param key the caller's idempotency key
 * @param state {@code claimed}, {@code released}, {@code done} or {@code resolved}
 * @param service the id of the service called
 * @param operation the HTTP method and path
 * @param attempt the id of the attempt that last claimed the call
 * @param router the id of the instance that made the attempt
 * @param ageMillis the time since the key was first claimed, in milliseconds
 * @param note the operator's note if the call was resolved, otherwise empty
 */
public record CallView(
        String workspace,
        String key,
        String state,
        String service,
        String operation,
        String attempt,
        String router,
        long ageMillis,
        String note) {}
