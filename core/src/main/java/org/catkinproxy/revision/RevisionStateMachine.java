package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * State machine by which one instance learns, activates and propagates revisions.
 *
 * <p>Invariants: the active revision only increases, and failed reads change nothing. A new
 * revision is sent to {@code pushFanout} peers at once; gossip rounds and infrequent reads of the
 * store compensate for lost messages. After a start or a pause, the instance is not fresh until the
 * store or several fresh peers have responded to requests made since then, and the newest revision
 * that they named is active. Every such sync begins a new epoch, which distinguishes its responses
 * from older ones.
 *
 * <p>A sync without sufficient responses ends at its timeout if there was any response or no peer
 * is known; otherwise it starts again. If the newest known revision could not be loaded, the sync
 * ends one isolation timeout later.
 *
 * <p>Deterministic for a given random generator; not thread-safe. Times are milliseconds of a
 * monotonic clock.
 */
public final class RevisionStateMachine {
    private final PropagationSettings mSettings;
    private final RandomGenerator mRandom;

    /**
     * Peers that reported the target revision and may be asked for its content, the latest first.
     */
    private final Deque<InstanceId> mContentSources = new ArrayDeque<>();

    private List<InstanceId> mPeers = List.of();
    private Optional<AcceptedSheet> mActive = Optional.empty();

    /** The newest revision that was reported and was not active at that time. */
    private Optional<RevisionMetadata> mTarget = Optional.empty();

    private Optional<RevisionAction.LoadSheet> mPendingLoad = Optional.empty();

    /** The sync in progress, null if there is none. */
    private RevisionSync mSync;

    private long mEpoch = RevisionEvent.PeerReported.UNSOLICITED;
    private boolean mFresh;
    private boolean mStarted;
    private long mLastTickMillis;
    private long mLastContactMillis;
    private long mNextGossipMillis;
    private long mNextPollMillis;
    private long mLoadDeadlineMillis;
    private long mNextStoreLoadMillis;

    /** Creates the state machine of a process that has just started. */
    public RevisionStateMachine(PropagationSettings settings, RandomGenerator random) {
        mSettings = checkNotNull(settings, "settings");
        mRandom = checkNotNull(random, "random");
    }

    /** Returns the active sheet, empty before the first activation. */
    public Optional<AcceptedSheet> activeSheet() {
        return mActive;
    }

    /** Returns the highest known revision, whether it is active or not. */
    public Revision newestKnownRevision() {
        Revision active = mActive.map(AcceptedSheet::revision).orElse(Revision.NONE);
        Revision target = mTarget.map(RevisionMetadata::revision).orElse(Revision.NONE);
        return target.isAfter(active) ? target : active;
    }

    /** Returns whether new requests may be dispatched under the active sheet. */
    public boolean isFresh() {
        return mFresh;
    }

    /**
     * Handles one event at time {@code now} in milliseconds, and returns the actions to perform.
     */
    public List<RevisionAction> handle(RevisionEvent event, long now) {
        List<RevisionAction> actions = new ArrayList<>();
        detectPause(now, actions);
        if (event instanceof RevisionEvent.PeersChanged changed) {
            onPeersChanged(changed.peers(), actions);
        } else if (event instanceof RevisionEvent.HeadRowRead read) {
            onHeadRowRead(read, now, actions);
        } else if (event instanceof RevisionEvent.PeerReported report) {
            onPeerReported(report, now, actions);
        } else if (event instanceof RevisionEvent.SheetLoaded loaded) {
            onSheetLoaded(loaded.sheet(), actions);
        } else if (event instanceof RevisionEvent.SheetLoadFailed failed) {
            onSheetLoadFailed(failed, now, actions);
        } else {
            onTick(now, actions);
        }
        updateFreshness(now, actions);
        return actions;
    }

    /** Starts a sync if the process has just started, or if the missing ticks show a pause. */
    private void detectPause(long now, List<RevisionAction> actions) {
        if (!mStarted || now - mLastTickMillis > mSettings.pauseThresholdMillis()) {
            mStarted = true;
            mLastTickMillis = now;
            // A response that was in flight before the pause may never arrive.
            mPendingLoad = Optional.empty();
            startSync(now, actions);
        }
    }

    private void startSync(long now, List<RevisionAction> actions) {
        mFresh = false;
        mEpoch++;
        mSync = new RevisionSync(now + mSettings.syncTimeoutMillis());
        readHeadRow(now, actions);
        gossip(now, mSettings.syncQuorum() + 1, actions);
    }

    private void onTick(long now, List<RevisionAction> actions) {
        mLastTickMillis = now;
        if (mSync != null && mSync.isPastDeadline(now) && !mSync.hasResponse() && hasPeers()) {
            startSync(now, actions);
        }
        if (now >= mNextGossipMillis) {
            gossip(now, mSettings.gossipFanout(), actions);
        }
        if (now >= mNextPollMillis) {
            readHeadRow(now, actions);
        }
        if (mPendingLoad.isPresent() && now >= mLoadDeadlineMillis) {
            mPendingLoad = Optional.empty();
        }
        startLoad(now, actions);
    }

    private void onPeersChanged(List<InstanceId> peers, List<RevisionAction> actions) {
        boolean noPeersBefore = mPeers.isEmpty();
        mPeers = List.copyOf(peers);
        if (noPeersBefore && mSync != null) {
            // After a start the first sync begins before any peer is known.
            pickPeers(mSettings.syncQuorum() + 1).forEach(p -> exchange(p, actions));
        }
    }

    private void onHeadRowRead(
            RevisionEvent.HeadRowRead read, long now, List<RevisionAction> actions) {
        mLastContactMillis = now;
        if (mSync != null && read.epoch() == mEpoch) {
            mSync.onStoreResponse();
        }
        read.head().ifPresent(this::updateTarget);
        startLoad(now, actions);
    }

    private void onPeerReported(
            RevisionEvent.PeerReported report, long now, List<RevisionAction> actions) {
        mLastContactMillis = now;
        if (mSync != null && report.epoch() == mEpoch) {
            mSync.onPeerResponse(report.peer(), report.fresh());
        }
        if (report.activeRevision().isPresent()) {
            updateTarget(report.activeRevision().get());
            if (isNeeded(report.activeRevision().get().revision())) {
                mContentSources.remove(report.peer());
                mContentSources.addFirst(report.peer());
            }
        }
        startLoad(now, actions);
    }

    private void updateTarget(RevisionMetadata reported) {
        if (reported.revision().isAfter(newestKnownRevision())) {
            mTarget = Optional.of(reported);
            mContentSources.clear();
        }
    }

    /** Returns whether a revision is the newest known one and not active. */
    private boolean isNeeded(Revision revision) {
        Revision active = mActive.map(AcceptedSheet::revision).orElse(Revision.NONE);
        return revision.isAfter(active) && revision.equals(newestKnownRevision());
    }

    private void startLoad(long now, List<RevisionAction> actions) {
        if (mTarget.isEmpty() || !isNeeded(mTarget.get().revision())) {
            return;
        }
        if (mPendingLoad.isPresent()) {
            Revision loading = mPendingLoad.get().metadata().revision();
            if (!mTarget.get().revision().isAfter(loading)) {
                return;
            }
        }
        if (mContentSources.isEmpty() && now < mNextStoreLoadMillis) {
            return;
        }
        Optional<InstanceId> source = Optional.ofNullable(mContentSources.pollFirst());
        RevisionAction.LoadSheet load = new RevisionAction.LoadSheet(mTarget.get(), source);
        mPendingLoad = Optional.of(load);
        mLoadDeadlineMillis = now + mSettings.loadTimeoutMillis();
        actions.add(load);
    }

    private void onSheetLoaded(AcceptedSheet sheet, List<RevisionAction> actions) {
        boolean pending =
                mPendingLoad
                        .map(l -> l.metadata().revision().compareTo(sheet.revision()) <= 0)
                        .orElse(false);
        if (pending) {
            mPendingLoad = Optional.empty();
        }
        Revision active = mActive.map(AcceptedSheet::revision).orElse(Revision.NONE);
        if (!sheet.revision().isAfter(active)) {
            return;
        }
        mActive = Optional.of(sheet);
        actions.add(new RevisionAction.Activate(sheet));
        pickPeers(mSettings.pushFanout()).forEach(p -> exchange(p, actions));
    }

    private void onSheetLoadFailed(
            RevisionEvent.SheetLoadFailed failed, long now, List<RevisionAction> actions) {
        boolean current =
                mPendingLoad
                        .filter(l -> l.metadata().revision().equals(failed.revision()))
                        .filter(l -> l.peer().equals(failed.peer()))
                        .isPresent();
        if (!current) {
            return;
        }
        mPendingLoad = Optional.empty();
        if (failed.peer().isEmpty()) {
            // Delays only the next load from the store, so as not to overload a failing store; a
            // peer that has the content is asked at once.
            mNextStoreLoadMillis = now + mSettings.loadTimeoutMillis();
        }
        startLoad(now, actions);
    }

    /** Ends a completed or expired sync, and decides whether the instance is fresh. */
    private void updateFreshness(long now, List<RevisionAction> actions) {
        if (mSync != null) {
            boolean newestKnown =
                    mSync.isSufficient(Math.min(mSettings.syncQuorum(), mPeers.size()));
            boolean caughtUp = newestKnownRevision().equals(activeRevision());
            boolean complete = newestKnown && caughtUp;
            boolean unanswered = !mSync.hasResponse() && hasPeers();
            // Content that no source can deliver must not keep all instances from serving forever.
            boolean waitForContent =
                    !caughtUp && !mSync.isPastDeadline(now - mSettings.isolationTimeoutMillis());
            boolean timedOut = mSync.isPastDeadline(now) && !unanswered && !waitForContent;
            if (complete || timedOut) {
                mSync = null;
                mLastContactMillis = now;
            }
        }
        boolean isolated =
                hasPeers() && now - mLastContactMillis > mSettings.isolationTimeoutMillis();
        mFresh = mSync == null && mActive.isPresent() && !isolated;
    }

    private Revision activeRevision() {
        return mActive.map(AcceptedSheet::revision).orElse(Revision.NONE);
    }

    /** Without peers an instance serves alone, since no other instance could take its callers. */
    private boolean hasPeers() {
        return !mPeers.isEmpty();
    }

    private void readHeadRow(long now, List<RevisionAction> actions) {
        long period = mSettings.pollIntervalMillis(mPeers.size() + 1);
        mNextPollMillis = now + period / 2 + mRandom.nextLong(period);
        actions.add(new RevisionAction.ReadHeadRow(mEpoch));
    }

    private void gossip(long now, int fanout, List<RevisionAction> actions) {
        long period = mSettings.gossipIntervalMillis();
        mNextGossipMillis = now + period / 2 + mRandom.nextLong(period);
        pickPeers(fanout).forEach(p -> exchange(p, actions));
    }

    private void exchange(InstanceId peer, List<RevisionAction> actions) {
        actions.add(new RevisionAction.Exchange(peer, mEpoch));
    }

    /** Picks up to {@code count} distinct peers at random. */
    private List<InstanceId> pickPeers(int count) {
        List<InstanceId> shuffled = new ArrayList<>(mPeers);
        int size = Math.min(count, shuffled.size());
        for (int i = 0; i < size; i++) {
            int other = i + mRandom.nextInt(shuffled.size() - i);
            InstanceId picked = shuffled.get(other);
            shuffled.set(other, shuffled.get(i));
            shuffled.set(i, picked);
        }
        return shuffled.subList(0, size);
    }
}
