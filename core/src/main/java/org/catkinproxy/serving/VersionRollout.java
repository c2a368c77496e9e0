package org.catkinproxy.serving;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * Plans the queries and orders that bring all engines to the desired versions of the weights.
 *
 * <p>Each engine is first queried for its status. Then it gets an order on the condition that its
 * order count is still the one that it reported, and it is queried again until it has the weights.
 * If the response to an order is lost, another query shows the outcome: an accepted order has
 * changed the count, and an order that arrives late fails its condition. Only a limited number of
 * engines change at the same time. Each of them gets no new requests for a while before its order,
 * so that few responses are computed with two versions. Times are in nanoseconds of the owner's
 * monotonic clock. Not thread-safe.
 */
public final class VersionRollout {
    /** Delay between an order, a failure or a busy status and the next query of the engine. */
    private static final long STATUS_POLL_NANOS = 250_000_000L;

    /** Time after which an action without an outcome is repeated. */
    private static final long ACTION_TIMEOUT_NANOS = 1_000_000_000L;

    /** Time after which a changing engine no longer counts towards the concurrency limit. */
    private static final long CHANGE_TIMEOUT_NANOS = 5_000_000_000L;

    /**
     * Maximum wait for an engine's open requests before it gets its order. Requests that are still
     * open then continue with the new weights, and the rest of their responses is of no use.
     */
    private static final long DRAIN_TIMEOUT_NANOS = 800_000_000L;

    private final Map<InstanceId, EngineProgress> mProgress = new HashMap<>();

    /** Minimum number of engines that may change at the same time. */
    private static final int MIN_CONCURRENT_CHANGES = 2;

    /**
     * Share of the engines that may change at the same time. Most of these are still finishing
     * their requests, so that few engines load weights at the same moment.
     */
    private static final double CONCURRENT_CHANGES_SHARE = 0.45;

    /** An action at one engine. */
    public sealed interface Action {
        /** Returns the engine that the action concerns. */
        Upstream engine();

        /** Queries the engine for its status. */
        record Query(Upstream engine) implements Action {}

        /**
         * Orders the engine to load a version of a model's weights. The engine rejects the order
         * unless its order count is {@code expectedOrderCount}.
         */
        record Order(Upstream engine, ModelId model, int version, long expectedOrderCount)
                implements Action {}
    }

    /**
     * The status that an engine reports.
     *
     * @param weightsVersions the version of each model's weights that the engine has loaded
     * @param busy whether the engine is carrying out an order
     * @param orderCount how many orders the engine has accepted since its start
     */
    public record EngineStatus(
            Map<ModelId, Integer> weightsVersions, boolean busy, long orderCount) {}

    /** The progress of one engine towards the desired versions. */
    private static final class EngineProgress {
        private Upstream mEngine;
        private boolean mChanging;
        private long mChangingSince;
        private long mNextActionAt;
        private Optional<EngineStatus> mStatus = Optional.empty();

        EngineProgress(Upstream engine, long now) {
            mEngine = engine;
            mNextActionAt = now;
        }
    }

    private VersionRollout() {}

    /** Returns a rollout that has no status of any engine yet. */
    public static VersionRollout create() {
        return new VersionRollout();
    }

    /**
     * Returns the actions that are due at {@code now} and counts them as started.
     *
     * @param desired the desired version of each model's weights
     * @param engines all engines that are listed and not draining
     * @param openRequests the known number of requests that all instances have open at an engine
     * @param now the time, in ns
     */
    public List<Action> plan(
            Map<ModelId, Integer> desired,
            Collection<Upstream> engines,
            ToIntFunction<Upstream> openRequests,
            long now) {
        removeUnlisted(engines);
        List<Upstream> outdated =
                engines.stream()
                        .filter(e -> isOutdated(e, desired))
                        .sorted(Comparator.comparingInt(VersionRollout::lowestVersion))
                        .toList();
        finishUpToDate(outdated);
        int freeSlots = maxConcurrentChanges(engines.size()) - changingCount(now);
        List<Action> actions = new ArrayList<>();
        for (Upstream engine : outdated) {
            EngineProgress progress =
                    mProgress.computeIfAbsent(engine.id(), k -> new EngineProgress(engine, now));
            progress.mEngine = engine;
            boolean starts = !progress.mChanging;
            if (progress.mNextActionAt - now > 0 || (starts && freeSlots <= 0)) {
                continue;
            }
            if (isDraining(progress, openRequests, now)) {
                continue;
            }
            Optional<Action> action = nextAction(progress, desired, now);
            if (action.isPresent() && starts) {
                progress.mChanging = true;
                progress.mChangingSince = now;
                freeSlots--;
            }
            action.ifPresent(actions::add);
        }
        return actions;
    }

    /** Returns the progress of the rollout for the instances that do not run it. */
    public RolloutState state(long now) {
        Set<InstanceId> changing = new TreeSet<>();
        Map<InstanceId, Map<ModelId, Integer>> confirmed = new TreeMap<>();
        for (EngineProgress progress : mProgress.values()) {
            if (progress.mChanging && now - progress.mChangingSince < CHANGE_TIMEOUT_NANOS) {
                changing.add(progress.mEngine.id());
            } else {
                progress.mStatus.ifPresent(
                        s -> confirmed.put(progress.mEngine.id(), s.weightsVersions()));
            }
        }
        return new RolloutState(changing, confirmed);
    }

    /** Returns whether an engine is known to lack a desired version of the weights. */
    public boolean isOutdated(Upstream engine, Map<ModelId, Integer> desired) {
        EngineProgress progress = mProgress.get(engine.id());
        boolean isKnown = progress != null && progress.mEngine.isSameIncarnation(engine);
        Optional<EngineStatus> status = isKnown ? progress.mStatus : Optional.empty();
        return firstOutdatedModel(engine, status, desired).isPresent();
    }

    /** Records the status that an engine reported. */
    public void onStatus(Upstream engine, EngineStatus status, long now) {
        EngineProgress progress = mProgress.get(engine.id());
        if (progress == null) {
            return;
        }
        progress.mStatus = Optional.of(status);
        progress.mNextActionAt = status.busy() ? now + STATUS_POLL_NANOS : now;
    }

    /**
     * Records that an engine answered an order. Its next status shows whether it took the order.
     */
    public void onOrderAnswered(Upstream engine, long now) {
        queryAgainAt(engine, now + STATUS_POLL_NANOS);
    }

    /** Records that an action failed or that its outcome is unknown. */
    public void onActionFailed(Upstream engine, long now) {
        queryAgainAt(engine, now + STATUS_POLL_NANOS);
    }

    private void queryAgainAt(Upstream engine, long at) {
        EngineProgress progress = mProgress.get(engine.id());
        if (progress != null) {
            progress.mStatus = Optional.empty();
            progress.mNextActionAt = at;
        }
    }

    /** Returns whether the engine is due for an order but should first finish open requests. */
    private static boolean isDraining(
            EngineProgress progress, ToIntFunction<Upstream> openRequests, long now) {
        boolean orderIsNext =
                progress.mChanging
                        && progress.mStatus.isPresent()
                        && !progress.mStatus.get().busy();
        return orderIsNext
                && now - progress.mChangingSince < DRAIN_TIMEOUT_NANOS
                && openRequests.applyAsInt(progress.mEngine) > 0;
    }

    private Optional<Action> nextAction(
            EngineProgress progress, Map<ModelId, Integer> desired, long now) {
        Upstream engine = progress.mEngine;
        progress.mNextActionAt = now + ACTION_TIMEOUT_NANOS;
        if (progress.mStatus.isEmpty() || progress.mStatus.get().busy()) {
            return Optional.of(new Action.Query(engine));
        }
        EngineStatus status = progress.mStatus.get();
        return firstOutdatedModel(engine, progress.mStatus, desired)
                .map(m -> new Action.Order(engine, m, desired.get(m), status.orderCount()));
    }

    private static Optional<ModelId> firstOutdatedModel(
            Upstream engine, Optional<EngineStatus> status, Map<ModelId, Integer> desired) {
        Map<ModelId, Integer> loaded =
                status.map(EngineStatus::weightsVersions).orElse(engine.weightsVersions());
        return desired.keySet().stream()
                .sorted()
                .filter(m -> loaded.containsKey(m) && loaded.get(m) < desired.get(m))
                .findFirst();
    }

    private void removeUnlisted(Collection<Upstream> engines) {
        Map<InstanceId, Upstream> listed = new HashMap<>();
        engines.forEach(e -> listed.put(e.id(), e));
        mProgress
                .values()
                .removeIf(
                        p -> {
                            Upstream engine = listed.get(p.mEngine.id());
                            return engine == null || !engine.isSameIncarnation(p.mEngine);
                        });
    }

    /**
     * Ends the change of engines that are up to date. Their progress is kept, because it may be
     * newer than the registry.
     */
    private void finishUpToDate(List<Upstream> outdated) {
        Set<InstanceId> ids = new HashSet<>();
        outdated.forEach(e -> ids.add(e.id()));
        mProgress.values().stream()
                .filter(p -> !ids.contains(p.mEngine.id()))
                .forEach(p -> p.mChanging = false);
    }

    /**
     * Sort key for the order of changes: engines with the oldest weights go first, because their
     * responses are the first that are of no use.
     */
    private static int lowestVersion(Upstream engine) {
        return engine.weightsVersions().values().stream()
                .mapToInt(Integer::intValue)
                .min()
                .orElse(0);
    }

    private static int maxConcurrentChanges(int engines) {
        return Math.max(
                MIN_CONCURRENT_CHANGES, (int) Math.ceil(engines * CONCURRENT_CHANGES_SHARE));
    }

    private int changingCount(long now) {
        return (int)
                mProgress.values().stream()
                        .filter(p -> p.mChanging)
                        .filter(p -> now - p.mChangingSince < CHANGE_TIMEOUT_NANOS)
                        .count();
    }
}
