package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;

import java.time.Duration;

/**
 * A load report as it was at one moment.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
final class LoadReport {
    private final ObjectNode mLoad;
    private final long mTakenNanos;

    private LoadReport(ObjectNode load, long takenNanos) {
        mLoad = load;
        mTakenNanos = takenNanos;
    }

    static LoadReport of(EngineRun run) {
        return new LoadReport(run.load(), System.nanoTime());
    }

    /** Returns the report with its age now. */
    ObjectNode toJson() {
        long age = Duration.ofNanos(System.nanoTime() - mTakenNanos).toMillis();
        return mLoad.deepCopy().put("ageMs", age);
    }
}
