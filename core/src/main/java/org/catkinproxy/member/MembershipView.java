package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedMap;

import org.catkinproxy.id.InstanceId;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A snapshot of all known instances.
 *
 * <p>Immutable and thread-safe.
 */
public final class MembershipView {
    /** The view without instances. */
    public static final MembershipView EMPTY = new MembershipView(Map.of());

    private final ImmutableSortedMap<InstanceId, MemberState> mStates;

    private MembershipView(Map<InstanceId, MemberState> states) {
        mStates = ImmutableSortedMap.copyOf(states);
    }

    /** Returns a view of the given instances. */
    public static MembershipView copyOf(Map<InstanceId, MemberState> states) {
        return new MembershipView(checkNotNull(states, "states"));
    }

    /** Returns all instances, ordered by id. */
    public List<MemberState> all() {
        return mStates.values().asList();
    }

    /** Returns the state of an instance, empty if the instance is unknown. */
    public Optional<MemberState> find(InstanceId id) {
        return Optional.ofNullable(mStates.get(id));
    }

    /** Returns whether an instance is known and may receive new work. */
    public boolean isUsable(InstanceId id) {
        return find(id).map(MemberState::isUsable).orElse(false);
    }

    /** Returns the instances of a kind that may receive new work, ordered by id. */
    public List<MemberState> usable(InstanceKind kind) {
        return mStates.values().stream()
                .filter(s -> s.info().kind() == kind)
                .filter(MemberState::isUsable)
                .toList();
    }

    /** Returns all instances of a kind, ordered by id. */
    public List<MemberState> of(InstanceKind kind) {
        return mStates.values().stream().filter(s -> s.info().kind() == kind).toList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MembershipView view && mStates.equals(view.mStates);
    }

    @Override
    public int hashCode() {
        return mStates.hashCode();
    }

    @Override
    public String toString() {
        return mStates.toString();
    }
}
