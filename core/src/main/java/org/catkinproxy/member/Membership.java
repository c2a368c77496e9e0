package org.catkinproxy.member;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.Member;
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
 * What one daemon knows of all instances, from the lagging list, the configuration, its own
 * contacts and what peers pass on.
 *
 * <p>Invariants: an incarnation that was once known to leave is never usable again here, whatever
 * the list says later. An instance leaves the view only when the list was read without it, and is
 * forgotten an hour later. A list that could not be read changes nothing.
 *
 * <p>Confined to one thread.
 */
public final class Membership {
    /** How often news is told by one daemon; far above what reaches every daemon. */
    private static final int TELL_LIMIT = 40;

    /** How long an instance that the list no longer names is remembered. */
    private static final long KEEP_MILLIS = 3_600_000;

    /** Load is kept in coarse steps, so that small changes change no view. */
    private static final int LOAD_STEP_PERMILLE = 250;

    /** Failures in a row after which an instance counts as unreachable. */
    private static final int FAILURE_LIMIT = 2;

    private final InstanceId mSelf;
    private final Map<InstanceId, Record> mRecords = new TreeMap<>();
    private final Map<LeaveNote, Integer> mNotes = new HashMap<>();
    private Set<InstanceId> mConfiguredToLeave = Set.of();
    private long mNow;

    /** Creates the membership of a daemon that knows of no instance yet. */
    public Membership(InstanceId self) {
        mSelf = checkNotNull(self, "self");
    }

    /**
     * Takes in one event at time {@code now}, in milliseconds of a clock that never goes back.
     *
     * @return whether the view may have changed
     */
    public boolean on(MembershipEvent event, long now) {
        mNow = now;
        if (event instanceof MembershipEvent.Listed listed) {
            list(listed.listings());
        } else if (event instanceof MembershipEvent.Configured configured) {
            mConfiguredToLeave =
                    configured.members().stream()
                            .filter(Member::leaving)
                            .map(Member::instance)
                            .collect(Collectors.toSet());
        } else if (event instanceof MembershipEvent.Answered answered) {
            return answer(answered);
        } else if (event instanceof MembershipEvent.Failed failed) {
            return ++record(failed.instance()).mFailures == FAILURE_LIMIT;
        } else if (event instanceof MembershipEvent.StopAsked asked) {
            return leave(asked.instance());
        } else if (event instanceof MembershipEvent.NotesHeard heard) {
            return learnAll(heard.notes());
        } else if (event instanceof MembershipEvent.NotesTold told) {
            told.notes().forEach(n -> mNotes.computeIfPresent(n, (k, count) -> count + 1));
            return false;
        }
        return true;
    }

    /** Returns what is known now. */
    public MembershipView view() {
        Map<InstanceId, MemberState> states = new HashMap<>();
        for (Map.Entry<InstanceId, Record> entry : mRecords.entrySet()) {
            if (entry.getValue().mInfo != null) {
                states.put(entry.getKey(), entry.getValue().state(isLeaving(entry.getKey())));
            }
        }
        return MembershipView.copyOf(states);
    }

    /**
     * Returns the news to pass on to one peer, those passed on least first.
     *
     * @param limit the most notes to return
     */
    public List<LeaveNote> notesToTell(int limit) {
        return mNotes.entrySet().stream()
                .filter(e -> e.getValue() < TELL_LIMIT)
                .sorted(
                        Map.Entry.<LeaveNote, Integer>comparingByValue()
                                .thenComparing(e -> e.getKey().instance())
                                .thenComparing(e -> e.getKey().incarnation()))
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns all news, for a peer that has just started. */
    public List<LeaveNote> allNotes() {
        return List.copyOf(mNotes.keySet());
    }

    /** Tells whether this start of an instance has been heard from. */
    public boolean hasHeard(InstanceId instance, Incarnation incarnation) {
        Record record = mRecords.get(instance);
        return record != null && incarnation.equals(record.mIncarnation);
    }

    /** Returns the other entry instances to which news can be told, usable or not. */
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

    private void list(List<MembershipEvent.Listing> listings) {
        Set<InstanceId> present =
                listings.stream().map(l -> l.info().id()).collect(Collectors.toSet());
        for (InstanceId known : new ArrayList<>(mRecords.keySet())) {
            if (!present.contains(known)) {
                unlist(known);
            }
        }
        for (MembershipEvent.Listing listing : listings) {
            Record record = record(listing.info().id());
            // A list that says so from the start may mean an earlier start of the instance: it
            // counts as long as the list says it, and only a change of the list is news.
            boolean news = listing.leaving() && record.mInfo != null && !record.mListedAsLeaving;
            record.mInfo = listing.info();
            record.mListedMillis = mNow;
            record.mListedAsLeaving = listing.leaving();
            if (news) {
                leave(listing.info().id());
            }
        }
    }

    /** What the list no longer names may come back under the same name as another start. */
    private void unlist(InstanceId instance) {
        Record record = mRecords.get(instance);
        if (record.mInfo != null) {
            record.mInfo = null;
            mNotes.remove(new LeaveNote(instance, LeaveNote.ANY));
        }
        if (mNow - record.mListedMillis > KEEP_MILLIS) {
            mRecords.remove(instance);
            mNotes.keySet().removeIf(n -> n.instance().equals(instance));
        }
    }

    private boolean answer(MembershipEvent.Answered answered) {
        Record record = record(answered.instance());
        int load = answered.loadPermille() / LOAD_STEP_PERMILLE * LOAD_STEP_PERMILLE;
        boolean changed =
                record.mFailures >= FAILURE_LIMIT
                        || record.mLoadPermille != load
                        || !answered.incarnation().equals(record.mIncarnation);
        record.mFailures = 0;
        record.mLoadPermille = load;
        record.mIncarnation = answered.incarnation();
        LeaveNote any = new LeaveNote(answered.instance(), LeaveNote.ANY);
        if (mNotes.remove(any) != null) {
            // The start that was there when the news came is the one that leaves.
            learn(new LeaveNote(answered.instance(), answered.incarnation()));
        }
        return changed;
    }

    private boolean leave(InstanceId instance) {
        Record record = record(instance);
        Incarnation incarnation = record.mIncarnation == null ? LeaveNote.ANY : record.mIncarnation;
        return learn(new LeaveNote(instance, incarnation));
    }

    private boolean learnAll(List<LeaveNote> notes) {
        boolean changed = false;
        for (LeaveNote note : notes) {
            changed |= learn(note);
        }
        return changed;
    }

    private boolean learn(LeaveNote note) {
        Record record = record(note.instance());
        if (isAny(note) && record.mIncarnation != null) {
            return learn(new LeaveNote(note.instance(), record.mIncarnation));
        }
        return mNotes.putIfAbsent(note, 0) == null;
    }

    private boolean isLeaving(InstanceId instance) {
        Record record = mRecords.get(instance);
        Incarnation incarnation = record.mIncarnation == null ? LeaveNote.ANY : record.mIncarnation;
        return record.mListedAsLeaving
                || mConfiguredToLeave.contains(instance)
                || mNotes.containsKey(new LeaveNote(instance, incarnation))
                || record.mIncarnation == null && isAnyStartLeaving(instance);
    }

    /** Until an instance has been heard, any news of its leaving may be of its present start. */
    private boolean isAnyStartLeaving(InstanceId instance) {
        return mNotes.keySet().stream().anyMatch(n -> n.instance().equals(instance));
    }

    private static boolean isAny(LeaveNote note) {
        return note.incarnation().equals(LeaveNote.ANY);
    }

    private Record record(InstanceId instance) {
        return mRecords.computeIfAbsent(instance, i -> new Record(mNow));
    }

    private static final class Record {
        private InstanceInfo mInfo;
        private boolean mListedAsLeaving;
        private Incarnation mIncarnation;
        private int mFailures;
        private int mLoadPermille;
        private long mListedMillis;

        Record(long now) {
            mListedMillis = now;
        }

        MemberState state(boolean leaving) {
            return new MemberState(
                    mInfo,
                    leaving,
                    mFailures < FAILURE_LIMIT,
                    Optional.ofNullable(mIncarnation),
                    mLoadPermille);
        }
    }
}
