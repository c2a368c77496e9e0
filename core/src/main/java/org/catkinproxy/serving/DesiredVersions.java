package org.catkinproxy.serving;

import static com.google.common.base.Preconditions.checkArgument;

import org.catkinproxy.id.ModelId;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The versions of model weights that operators set, and since when each version is desired.
 *
 * <p>An engine with outdated weights may answer during a grace period after a newer version was
 * set; later responses of the engine are of no use. Times are in nanoseconds of the owner's
 * monotonic clock. Not thread-safe.
 */
public final class DesiredVersions {
    /** Share of the grace period after which engines with outdated weights get no more requests. */
    private static final double USABLE_SHARE = 0.7;

    private final long mOutdatedWeightsGraceNanos;
    private final Map<ModelId, NavigableMap<Integer, DesiredSince>> mDesiredSince = new HashMap<>();

    /**
     * The time at which a version was set.
     *
     * @param at the time, in ns
     * @param exact whether the time is known; otherwise the version was set at an unknown time
     *     before this process started
     */
    private record DesiredSince(long at, boolean exact) {}

    private DesiredVersions(long outdatedWeightsGraceNanos) {
        checkArgument(
                outdatedWeightsGraceNanos > 0,
                "outdatedWeightsGraceNanos is not positive: %s",
                outdatedWeightsGraceNanos);
        mOutdatedWeightsGraceNanos = outdatedWeightsGraceNanos;
    }

    /**
     * Returns an object that knows no versions yet.
     *
     * @param outdatedWeightsGraceNanos how long an engine may answer with outdated weights, in ns
     */
    public static DesiredVersions of(long outdatedWeightsGraceNanos) {
        return new DesiredVersions(outdatedWeightsGraceNanos);
    }

    /**
     * Records that an operator set a version at {@code now}, unless the version is known already.
     *
     * @return whether the version is higher than all earlier ones
     */
    public boolean recordDesired(ModelId model, int version, long now) {
        return add(model, version, new DesiredSince(now, true));
    }

    /**
     * Records that an operator set a version at an unknown time before this process started, unless
     * the version is known already.
     *
     * @return whether the version is higher than all earlier ones
     */
    public boolean recordDesiredBeforeStart(ModelId model, int version, long now) {
        return add(model, version, new DesiredSince(now - usableNanos(), false));
    }

    private boolean add(ModelId model, int version, DesiredSince since) {
        NavigableMap<Integer, DesiredSince> versions =
                mDesiredSince.computeIfAbsent(model, k -> new TreeMap<>());
        boolean newer = versions.isEmpty() || versions.lastKey() < version;
        versions.putIfAbsent(version, since);
        return newer;
    }

    /** Returns the newest version of a model's weights, 0 if none is known. */
    public int newest(ModelId model) {
        NavigableMap<Integer, DesiredSince> versions = mDesiredSince.get(model);
        return versions == null ? 0 : versions.lastKey();
    }

    /** Returns the newest version of each model's weights. */
    public Map<ModelId, Integer> newest() {
        Map<ModelId, Integer> newest = new HashMap<>();
        mDesiredSince.forEach((model, versions) -> newest.put(model, versions.lastKey()));
        return newest;
    }

    /** Returns whether responses computed with {@code version} are still of use at {@code now}. */
    public boolean isUsable(ModelId model, int version, long now) {
        DesiredSince next = nextHigher(model, version);
        return next == null || now - next.at() < usableNanos();
    }

    /**
     * Returns whether responses computed with {@code version} may still be of use at {@code now}.
     * This is also true if the time at which the next higher version was set is unknown.
     */
    public boolean mayBeUsable(ModelId model, int version, long now) {
        DesiredSince next = nextHigher(model, version);
        return next == null || !next.exact() || now - next.at() < usableNanos();
    }

    private DesiredSince nextHigher(ModelId model, int version) {
        NavigableMap<Integer, DesiredSince> versions = mDesiredSince.get(model);
        Map.Entry<Integer, DesiredSince> next =
                versions == null ? null : versions.higherEntry(version);
        return next == null ? null : next.getValue();
    }

    private long usableNanos() {
        return (long) (mOutdatedWeightsGraceNanos * USABLE_SHARE);
    }
}
