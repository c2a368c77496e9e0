package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;

import org.catkinproxy.id.DataCentreId;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Ranks the entry instances for a caller, so that callers are distributed in proportion to the
 * instances' weights.
 *
 * <p>Uses weighted rendezvous hashing on the caller's id. Every entry instance returns the same
 * order for a caller, the arrival or departure of an instance moves only its own share of callers,
 * and an instance of weight two is first for twice as many callers. Load reduces the effective
 * weight of an instance. The first ranks are in different data centres, so that a caller's second
 * choice survives the loss of the data centre of the first. Stateless and thread-safe.
 */
public final class EntryRanking {
    private static final int MAX_LOAD_PERMILLE = 1_000;

    /** The minimum share of its weight that a loaded instance keeps. */
    private static final double MIN_WEIGHT_SHARE = 0.25;

    /** The number of bits of a hash that a {@code double} represents exactly. */
    private static final int MANTISSA_BITS = 53;

    private EntryRanking() {}

    /**
     * Returns up to {@code limit} usable entry instances, the best first.
     *
     * @param caller the id that the caller gives itself, the same in all its requests
     * @throws IllegalArgumentException if {@code limit} is not positive
     */
    public static List<InstanceInfo> rank(MembershipView view, String caller, int limit) {
        checkArgument(limit > 0, "limit is not positive: %s", limit);
        List<InstanceInfo> ranked =
                view.usable(InstanceKind.ENTRY).stream()
                        .sorted(
                                Comparator.comparingDouble((MemberState s) -> score(s, caller))
                                        .reversed()
                                        .thenComparing(s -> s.info().id()))
                        .map(MemberState::info)
                        .toList();
        List<InstanceInfo> distributed = spreadOverDataCentres(ranked);
        return List.copyOf(distributed.subList(0, Math.min(limit, distributed.size())));
    }

    private static double score(MemberState state, String caller) {
        String key = caller + "\n" + state.info().id();
        long hash = Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
        double uniform =
                ((hash >>> (Long.SIZE - MANTISSA_BITS)) + 0.5) / (double) (1L << MANTISSA_BITS);
        return -effectiveWeight(state) / Math.log(uniform);
    }

    private static double effectiveWeight(MemberState state) {
        int load = Math.max(0, Math.min(MAX_LOAD_PERMILLE, state.loadPermille()));
        double share = Math.max(MIN_WEIGHT_SHARE, 1 - load / (double) MAX_LOAD_PERMILLE);
        return state.info().weight() * share;
    }

    /** Moves the best instance of each data centre to the front and keeps the order otherwise. */
    private static List<InstanceInfo> spreadOverDataCentres(List<InstanceInfo> ranked) {
        Set<DataCentreId> seen = new HashSet<>();
        List<InstanceInfo> bestOfEach = new ArrayList<>();
        List<InstanceInfo> rest = new ArrayList<>();
        for (InstanceInfo info : ranked) {
            (seen.add(info.dataCentre()) ? bestOfEach : rest).add(info);
        }
        bestOfEach.addAll(rest);
        return bestOfEach;
    }
}
