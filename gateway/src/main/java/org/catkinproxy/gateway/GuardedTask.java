package org.catkinproxy.gateway;

/**
 * Runs a periodic task so that an unexpected error ends only one run of it.
 *
 * <p>The event loop would cancel a periodic task that throws, and the process would go on without
 * its time limits. Used by the event loop only.
 */
final class GuardedTask {
    private GuardedTask() {}

    /** Returns a task that runs {@code task} and logs what it throws. */
    static Runnable of(EventLog log, String name, Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                log.record(GatewayEvent.TASK_FAILED, "task", name, "reason", e);
            }
        };
    }
}
