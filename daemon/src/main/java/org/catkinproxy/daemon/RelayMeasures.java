package org.catkinproxy.daemon;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.observe.Metrics;
import org.catkinproxy.observe.ServiceLevels;
import org.catkinproxy.relay.RelayObserver;

import java.time.Duration;
import java.util.Optional;

/** Counts how requests ended in the metrics and in the service levels. Safe for any thread. */
final class RelayMeasures implements RelayObserver {
    private final Metrics mMetrics;
    private final ServiceLevels mLevels;

    RelayMeasures(Metrics metrics, ServiceLevels levels) {
        mMetrics = metrics;
        mLevels = levels;
    }

    @Override
    public void onCompleted(CompletedRequest answered) {
        Duration firstToken = Duration.ofNanos(answered.firstTokenNanos());
        mMetrics.answered(
                answered.workspace(),
                answered.engine(),
                firstToken,
                answered.promptTokens(),
                answered.cachedTokens(),
                answered.generatedTokens());
        mLevels.answered(
                answered.workspace(),
                answered.engine(),
                firstToken.toMillis(),
                answered.promptTokens(),
                answered.cachedTokens());
    }

    @Override
    public void onFailed(WorkspaceId workspace, Optional<EngineId> engine, CatkinException error) {
        mMetrics.failed(workspace, engine, error.code());
        if (error.code().isServerError()) {
            mLevels.failed(workspace, engine);
        }
    }
}
