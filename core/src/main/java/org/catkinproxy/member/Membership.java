package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.PoolMember;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The state of all instances as one entry instance knows it, from the platform's instance list,
 * which lags, the configuration, its own requests and the leave notices of peers.
 *
 * <p>Invariants: an incarnation that was once known to be leaving is not usable any more, whatever
 * later instance lists say. An instance is removed from the view only after a list was read that
 * does not contain it, and its record is deleted an hour later. A list that could not be read
 * changes nothing.
 *
 * <p>Not thread-safe.
 */
public final class Membership {
    /**
     * The maximum number of times that this instance sends one notice; far more than is needed for
     * the notice to reach every entry instance.
     */
    private static final int MAX_SENDS_PER_NOTICE = 40;

    /** How long the record of an instance that is not listed any more is kept. */
    private static final long UNLISTED_RETENTION_MILLIS = 3_600_000;

    /** Load is rounded down to multiples of this, so that small changes cause no new view. */
    private static final int LOAD_STEP_PERMILLE = 250;

    /** The number of consecutive failures after which an instance counts as unreachable. */
    private static final int UNREACHABLE_AFTER_FAILURES = 2;

    private final InstanceId mSelf;
    private final Map<InstanceId, InstanceRecord> mRecords = new TreeMap<>();

    /** All known notices, with the number of times that each was sent to a peer. */
    private final Map<LeaveNotice, Integer> mNoticeSendCounts = new HashMap<>();

    private Set<InstanceId> mConfiguredAsLeaving = Set.of();
    private long mNowMillis;

    /** Creates the membership of entry instance {@code self}, without any known instances. */
    public Membership(InstanceId self) {
        mSelf = checkNotNull(self, "self");
    }

    /**
     * Handles one event at time {@code now}, in milliseconds of a monotonic clock.
     *
     * @return whether the view may have changed
     */
    public boolean handle(MembershipEvent event, long now) {
        mNowMillis = now;
        if (event instanceof MembershipEvent.InstancesListed listed) {
            onInstancesListed(listed.listings());
        } else if (event instanceof MembershipEvent.ConfigurationChanged configured) {
            mConfiguredAsLeaving =
                    configured.members().stream()
                            .filter(PoolMember::leaving)
                            .map(PoolMember::instance)
                            .collect(Collectors.toSet());
        } else if (event instanceof MembershipEvent.InstanceResponded responded) {
            return onInstanceResponded(responded);
        } else if (event instanceof MembershipEvent.InstanceFailed failed) {
            return ++getOrCreateRecord(failed.instance()).mFailures == UNREACHABLE_AFTER_FAILURES;
        } else if (event instanceof MembershipEvent.StopRequested requested) {
            return addLeaveNotice(requested.instance());
        } else if (event instanceof MembershipEvent.NoticesReceived received) {
            return addNotices(received.notices());
        } else if (event instanceof MembershipEvent.NoticesSent sent) {
            sent.notices()
                    .forEach(n -> mNoticeSendCounts.computeIfPresent(n, (k, count) -> count + 1));
            return false;
        }
        return true;
    }

    /** Returns a snapshot of the listed instances. */
    public MembershipView view() {
        Map<InstanceId, MemberState> states = new HashMap<>();
        for (Map.Entry<InstanceId, InstanceRecord> entry : mRecords.entrySet()) {
            if (entry.getValue().mInfo != null) {
                states.put(entry.getKey(), entry.getValue().toState(isLeaving(entry.getKey())));
            }
        }
        return MembershipView.copyOf(states);
    }

    /**
     * Returns the notices to send to one peer, those sent least often first.
     *
     * @param limit the maximum number of notices to return
     */
    public List<LeaveNotice> noticesToSend(int limit) {
        return mNoticeSendCounts.entrySet().stream()
                .filter(e -> e.getValue() < MAX_SENDS_PER_NOTICE)
                .sorted(
                        Map.Entry.<LeaveNotice, Integer>comparingByValue()
                                .thenComparing(e -> e.getKey().instance())
                                .thenComparing(e -> e.getKey().incarnation()))
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns all known notices, for a peer that has just started. */
    public List<LeaveNotice> allNotices() {
        return List.copyOf(mNoticeSendCounts.keySet());
    }

    /** Returns whether the instance responded last with this incarnation. */
    public boolean isCurrentIncarnation(InstanceId instance, Incarnation incarnation) {
        InstanceRecord record = mRecords.get(instance);
        return record != null && incarnation.equals(record.mIncarnation);
    }

    /** Returns the other listed entry instances that have a peer address, usable or not. */
    public List<InstanceId> peers() {
        return mRecords.entrySet().stream()
                .filter(e -> !e.getKey().equals(mSelf))
                .filter(e -> e.getValue().mInfo != null)
                .filter(e -> e.getValue().mInfo.kind() == InstanceKind.ENTRY)
                .filter(e -> !e.getValue().mInfo.peerAddress().isEmpty())
                .map(Map.Entry::getKey)
                .sorted(Comparator.naturalOrder())
                .toList();
    }

    private void onInstancesListed(List<MembershipEvent.Listing> listings) {
        Set<InstanceId> present =
                listings.stream().map(l -> l.info().id()).collect(Collectors.toSet());
        for (InstanceId known : new ArrayList<>(mRecords.keySet())) {
            if (!present.contains(known)) {
                onInstanceUnlisted(known);
            }
        }
        for (MembershipEvent.Listing listing : listings) {
            InstanceRecord record = getOrCreateRecord(listing.info().id());
            // A first listing as leaving may be about an earlier incarnation of the instance. The
            // instance then counts as leaving only as long as the list says so; only a change of
            // the listing creates a notice, which is permanent.
            boolean startsLeaving =
                    listing.leaving() && record.mInfo != null && !record.mListedAsLeaving;
            record.mInfo = listing.info();
            record.mLastListedMillis = mNowMillis;
            record.mListedAsLeaving = listing.leaving();
            if (startsLeaving) {
                addLeaveNotice(listing.info().id());
            }
        }
    }

    /** An instance that is not listed any more may return with the same id as a new incarnation. */
    private void onInstanceUnlisted(InstanceId instance) {
        InstanceRecord record = mRecords.get(instance);
        if (record.mInfo != null) {
            record.mInfo = null;
            mNoticeSendCounts.remove(new LeaveNotice(instance, LeaveNotice.ANY_INCARNATION));
        }
        if (mNowMillis - record.mLastListedMillis > UNLISTED_RETENTION_MILLIS) {
            mRecords.remove(instance);
            mNoticeSendCounts.keySet().removeIf(n -> n.instance().equals(instance));
        }
    }

    private boolean onInstanceResponded(MembershipEvent.InstanceResponded responded) {
        InstanceRecord record = getOrCreateRecord(responded.instance());
        int load = responded.loadPermille() / LOAD_STEP_PERMILLE * LOAD_STEP_PERMILLE;
        boolean changed =
                record.mFailures >= UNREACHABLE_AFTER_FAILURES
                        || record.mLoadPermille != load
                        || !responded.incarnation().equals(record.mIncarnation);
        record.mFailures = 0;
        record.mLoadPermille = load;
        record.mIncarnation = responded.incarnation();
        LeaveNotice anyIncarnation =
                new LeaveNotice(responded.instance(), LeaveNotice.ANY_INCARNATION);
        if (mNoticeSendCounts.remove(anyIncarnation) != null) {
            // The incarnation that was running when the notice was created is the leaving one.
            addNotice(new LeaveNotice(responded.instance(), responded.incarnation()));
        }
        return changed;
    }

    private boolean addLeaveNotice(InstanceId instance) {
        InstanceRecord record = getOrCreateRecord(instance);
        Incarnation incarnation =
                record.mIncarnation == null ? LeaveNotice.ANY_INCARNATION : record.mIncarnation;
        return addNotice(new LeaveNotice(instance, incarnation));
    }

    private boolean addNotices(List<LeaveNotice> notices) {
        boolean changed = false;
        for (LeaveNotice notice : notices) {
            changed |= addNotice(notice);
        }
        return changed;
    }

    private boolean addNotice(LeaveNotice notice) {
        InstanceRecord record = getOrCreateRecord(notice.instance());
        if (hasAnyIncarnation(notice) && record.mIncarnation != null) {
            return addNotice(new LeaveNotice(notice.instance(), record.mIncarnation));
        }
        return mNoticeSendCounts.putIfAbsent(notice, 0) == null;
    }

    private boolean isLeaving(InstanceId instance) {
        InstanceRecord record = mRecords.get(instance);
        Incarnation incarnation =
                record.mIncarnation == null ? LeaveNotice.ANY_INCARNATION : record.mIncarnation;
        return record.mListedAsLeaving
                || mConfiguredAsLeaving.contains(instance)
                || mNoticeSendCounts.containsKey(new LeaveNotice(instance, incarnation))
                || record.mIncarnation == null && hasNotice(instance);
    }

    /**
     * Any notice may be about the current incarnation of an instance that has not responded yet.
     */
    private boolean hasNotice(InstanceId instance) {
        return mNoticeSendCounts.keySet().stream().anyMatch(n -> n.instance().equals(instance));
    }

    private static boolean hasAnyIncarnation(LeaveNotice notice) {
        return notice.incarnation().equals(LeaveNotice.ANY_INCARNATION);
    }

    private InstanceRecord getOrCreateRecord(InstanceId instance) {
        return mRecords.computeIfAbsent(instance, i -> new InstanceRecord(mNowMillis));
    }

    private static final class InstanceRecord {
        private InstanceInfo mInfo;
        private boolean mListedAsLeaving;
        private Incarnation mIncarnation;
        private int mFailures;
        private int mLoadPermille;
        private long mLastListedMillis;

        InstanceRecord(long nowMillis) {
            mLastListedMillis = nowMillis;
        }

        MemberState toState(boolean leaving) {
            return new MemberState(
                    mInfo,
                    leaving,
                    mFailures < UNREACHABLE_AFTER_FAILURES,
                    Optional.ofNullable(mIncarnation),
                    mLoadPermille);
        }
    }
}
