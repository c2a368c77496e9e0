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
 * Works out which engines are to be asked, ordered and watched so that all get the newest weights.
 *
 * <p>Each engine is first asked for its state, then ordered on the condition that its count of
 * orders is still the one it told, then asked again until it has the weights. An order whose answer
 * was lost is settled by asking: if it was taken, the count has changed; if it comes late, its
 * condition no longer holds. Only a few engines change at a time; each gets no requests for a while
 * before, so that few answers are made on two versions. Times are nanoseconds of the owner's
 * monotonic clock. Not safe for use by several threads.
 */
public final class VersionRollout {
    private static final long ASK_AGAIN_NANOS = 250_000_000L;

    /** A step without an outcome is taken up again after this time. */
    private static final long STEP_TIMEOUT_NANOS = 1_000_000_000L;

    /** An engine that takes longer no longer holds back the others. */
    private static final long CHANGE_TIMEOUT_NANOS = 5_000_000_000L;

    /**
     * An engine whose requests have not ended after this time is ordered all the same: these go on
     * under the new weights, and what they make then is of no use.
     */
    private static final long DRAIN_NANOS = 800_000_000L;

    private final Map<InstanceId, Progress> mProgress = new HashMap<>();

    private static final int LEAST_CONCURRENT = 2;

    /**
     * Share of the engines that change at a time. Most of them still finish their requests, so that
     * few load at the same moment.
     */
    private static final double CONCURRENT_SHARE = 0.45;

    /** What to do at one engine. */
    public sealed interface Step {
        /** Returns the engine. */
        Upstream engine();

        /** Ask the engine for its state. */
        record Ask(Upstream engine) implements Step {}

        /** Order the weights if the engine's count of orders is {@code orderCount}. */
        record Order(Upstream engine, ModelId model, int version, long orderCount)
                implements Step {}
    }

    /**
     * What an engine says of itself.
     *
     * @param weights the version of each model
     * @param busy whether it carries out an order
     * @param orderCount how many orders it has accepted since its start
     */
    public record EngineReport(Map<ModelId, Integer> weights, boolean busy, long orderCount) {}

    /** How far the change of one engine is. */
    private static final class Progress {
        private Upstream mEngine;
        private boolean mChanging;
        private long mChangingSince;
        private long mNextAt;
        private Optional<EngineReport> mReport = Optional.empty();

        Progress(Upstream engine, long now) {
            mEngine = engine;
            mNextAt = now;
        }
    }

    private VersionRollout() {}

    /** Returns a rollout of which nothing is known yet. */
    public static VersionRollout create() {
        return new VersionRollout();
    }

    /**
     * Returns the steps that are due.
     *
     * @param requests how many requests all instances have open at an engine, as far as is known
     */
    public List<Step> plan(
            Map<ModelId, Integer> wanted,
            Collection<Upstream> engines,
            ToIntFunction<Upstream> requests,
            long now) {
        forgetOthers(engines);
        List<Upstream> behind =
                engines.stream()
                        .filter(e -> isBehind(e, wanted))
                        .sorted(Comparator.comparingInt(VersionRollout::oldestWeights))
                        .toList();
        finishOthers(behind);
        int free = concurrent(engines.size()) - changing(now);
        List<Step> steps = new ArrayList<>();
        for (Upstream engine : behind) {
            Progress progress =
                    mProgress.computeIfAbsent(engine.id(), k -> new Progress(engine, now));
            progress.mEngine = engine;
            boolean starts = !progress.mChanging;
            if (progress.mNextAt - now > 0 || (starts && free <= 0)) {
                continue;
            }
            if (isDraining(progress, requests, now)) {
                continue;
            }
            Optional<Step> step = step(progress, wanted, now);
            if (step.isPresent() && starts) {
                progress.mChanging = true;
                progress.mChangingSince = now;
                free--;
            }
            step.ifPresent(steps::add);
        }
        return steps;
    }

    /** Returns how far the rollout is, for instances that do not carry it out. */
    public RolloutState state(long now) {
        Set<InstanceId> changing = new TreeSet<>();
        Map<InstanceId, Map<ModelId, Integer>> done = new TreeMap<>();
        for (Progress progress : mProgress.values()) {
            if (progress.mChanging && now - progress.mChangingSince < CHANGE_TIMEOUT_NANOS) {
                changing.add(progress.mEngine.id());
            } else {
                progress.mReport.ifPresent(r -> done.put(progress.mEngine.id(), r.weights()));
            }
        }
        return new RolloutState(changing, done);
    }

    /** Tells whether an engine lacks any of the wanted weights, as far as is known. */
    public boolean isBehind(Upstream engine, Map<ModelId, Integer> wanted) {
        Progress progress = mProgress.get(engine.id());
        boolean known = progress != null && progress.mEngine.isSameStart(engine);
        Optional<EngineReport> report = known ? progress.mReport : Optional.empty();
        return firstBehind(engine, report, wanted).isPresent();
    }

    /** Takes what an engine said. */
    public void reported(Upstream engine, EngineReport report, long now) {
        Progress progress = mProgress.get(engine.id());
        if (progress == null) {
            return;
        }
        progress.mReport = Optional.of(report);
        progress.mNextAt = report.busy() ? now + ASK_AGAIN_NANOS : now;
    }

    /** Takes that an order was accepted, or that the engine has the weights already. */
    public void ordered(Upstream engine, long now) {
        askAgain(engine, now + ASK_AGAIN_NANOS);
    }

    /** Takes that a step has failed or that its outcome is unknown. */
    public void failed(Upstream engine, long now) {
        askAgain(engine, now + ASK_AGAIN_NANOS);
    }

    private void askAgain(Upstream engine, long at) {
        Progress progress = mProgress.get(engine.id());
        if (progress != null) {
            progress.mReport = Optional.empty();
            progress.mNextAt = at;
        }
    }

    /** Tells whether an engine that is to be ordered next gets no requests and still has some. */
    private static boolean isDraining(
            Progress progress, ToIntFunction<Upstream> requests, long now) {
        boolean orderIsNext =
                progress.mChanging
                        && progress.mReport.isPresent()
                        && !progress.mReport.get().busy();
        return orderIsNext
                && now - progress.mChangingSince < DRAIN_NANOS
                && requests.applyAsInt(progress.mEngine) > 0;
    }

    private Optional<Step> step(Progress progress, Map<ModelId, Integer> wanted, long now) {
        Upstream engine = progress.mEngine;
        progress.mNextAt = now + STEP_TIMEOUT_NANOS;
        if (progress.mReport.isEmpty() || progress.mReport.get().busy()) {
            return Optional.of(new Step.Ask(engine));
        }
        EngineReport report = progress.mReport.get();
        return firstBehind(engine, progress.mReport, wanted)
                .map(m -> new Step.Order(engine, m, wanted.get(m), report.orderCount()));
    }

    private static Optional<ModelId> firstBehind(
            Upstream engine, Optional<EngineReport> report, Map<ModelId, Integer> wanted) {
        Map<ModelId, Integer> has = report.map(EngineReport::weights).orElse(engine.weights());
        return wanted.keySet().stream()
                .sorted()
                .filter(m -> has.containsKey(m) && has.get(m) < wanted.get(m))
                .findFirst();
    }

    private void forgetOthers(Collection<Upstream> engines) {
        Map<InstanceId, Upstream> listed = new HashMap<>();
        engines.forEach(e -> listed.put(e.id(), e));
        mProgress
                .values()
                .removeIf(
                        p -> {
                            Upstream now = listed.get(p.mEngine.id());
                            return now == null || !now.isSameStart(p.mEngine);
                        });
    }

    /** Engines that have the weights by their own report stay known until the list says so too. */
    private void finishOthers(List<Upstream> behind) {
        Set<InstanceId> ids = new HashSet<>();
        behind.forEach(e -> ids.add(e.id()));
        mProgress.values().stream()
                .filter(p -> !ids.contains(p.mEngine.id()))
                .forEach(p -> p.mChanging = false);
    }

    /** Engines with the oldest weights go first, since their answers are the first of no use. */
    private static int oldestWeights(Upstream engine) {
        return engine.weights().values().stream().mapToInt(Integer::intValue).min().orElse(0);
    }

    private static int concurrent(int engines) {
        return Math.max(LEAST_CONCURRENT, (int) Math.ceil(engines * CONCURRENT_SHARE));
    }

    private int changing(long now) {
        return (int)
                mProgress.values().stream()
                        .filter(p -> p.mChanging)
                        .filter(p -> now - p.mChangingSince < CHANGE_TIMEOUT_NANOS)
                        .count();
    }
}
