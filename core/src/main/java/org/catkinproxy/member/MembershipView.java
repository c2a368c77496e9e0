package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedMap;

import org.catkinproxy.id.InstanceId;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Every known instance at one moment.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
public final class MembershipView {
    /** The view of a process that knows of no instance. */
    public static final MembershipView EMPTY = new MembershipView(Map.of());

    private final ImmutableSortedMap<InstanceId, MemberState> mStates;

    private MembershipView(Map<InstanceId, MemberState> states) {
        mStates = ImmutableSortedMap.copyOf(states);
    }

    /** Returns a view of these instances. */
    public static MembershipView copyOf(Map<InstanceId, MemberState> states) {
        return new MembershipView(checkNotNull(states, "states"));
    }

    /** Returns all instances, in the order of their names. */
    public List<MemberState> all() {
        return mStates.values().asList();
    }

    /** Returns an instance, if it is known. */
    public Optional<MemberState> find(InstanceId id) {
        return Optional.ofNullable(mStates.get(id));
    }

    /** Tells whether an instance may be given new work. */
    public boolean isUsable(InstanceId id) {
        return find(id).map(MemberState::isUsable).orElse(false);
    }

    /** Returns the instances of a kind that may be given new work. */
    public List<MemberState> usable(InstanceKind kind) {
        return mStates.values().stream()
                .filter(s -> s.info().kind() == kind)
                .filter(MemberState::isUsable)
                .toList();
    }

    /** Returns the instances of a kind, usable or not. */
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
