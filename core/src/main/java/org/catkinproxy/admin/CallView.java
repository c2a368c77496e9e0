package org.catkinproxy.admin;

/**
 * A call that may run once.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace
 * @param key the caller's idempotency key
 * @param state {@code claimed}, {@code released}, {@code done} or {@code resolved}
 * @param service the service called
 * @param operation the method and path
 * @param attempt the attempt that claimed it last
 * @param router the instance that made the attempt
 * @param ageMillis how long ago the key was first claimed
 * @param note the operator's note if the call was resolved, else empty
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
