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
 * Decides how one instance learns, puts in force and spreads revisions.
 *
 * <p>Invariants: the revision in force only rises, and whatever could not be read changes nothing.
 * A new revision is told to {@code pushPeers} peers at once; rounds of gossip and slow reads of the
 * store repair what got lost. After a start or a pause the machine is not fresh until the store or
 * several fresh peers have answered what was asked since then, and the newest revision they named
 * is in force. Each start or pause opens an epoch, so that older answers are told apart.
 *
 * <p>Deterministic for a given generator; confined to one thread. Times are milliseconds of a clock
 * that never goes back.
 */
public final class RevisionMachine {
    private final SpreadSettings mSettings;
    private final RandomGenerator mRandom;
    private final Deque<InstanceId> mSources = new ArrayDeque<>();
    private List<InstanceId> mPeers = List.of();
    private Optional<AcceptedSheet> mInForce = Optional.empty();
    private Optional<Head> mWanted = Optional.empty();
    private Optional<RevisionAction.Load> mLoading = Optional.empty();
    private Sync mSync;
    private long mEpoch = RevisionEvent.PeerSaid.UNASKED;
    private boolean mFresh;
    private boolean mStarted;
    private long mLastTick;
    private long mLastHeard;
    private long mNextRound;
    private long mNextPoll;
    private long mLoadDeadline;
    private long mNextStoreLoad;

    /** Creates the machine of a process that knows nothing yet. */
    public RevisionMachine(SpreadSettings settings, RandomGenerator random) {
        mSettings = checkNotNull(settings, "settings");
        mRandom = checkNotNull(random, "random");
    }

    /** Returns the sheet in force, if there is one. */
    public Optional<AcceptedSheet> inForce() {
        return mInForce;
    }

    /** Returns the highest revision known of, in force or not. */
    public Revision newestKnown() {
        Revision inForce = mInForce.map(AcceptedSheet::revision).orElse(Revision.NONE);
        Revision wanted = mWanted.map(Head::revision).orElse(Revision.NONE);
        return wanted.isAfter(inForce) ? wanted : inForce;
    }

    /** Tells whether new requests may be dispatched under the sheet in force. */
    public boolean isFresh() {
        return mFresh;
    }

    /** Takes in one event at time {@code now}, and returns what to do. */
    public List<RevisionAction> on(RevisionEvent event, long now) {
        List<RevisionAction> actions = new ArrayList<>();
        detectPause(now, actions);
        if (event instanceof RevisionEvent.PeersChanged changed) {
            changePeers(changed.peers(), actions);
        } else if (event instanceof RevisionEvent.HeadRead read) {
            readHead(read, now, actions);
        } else if (event instanceof RevisionEvent.PeerSaid said) {
            hearPeer(said, now, actions);
        } else if (event instanceof RevisionEvent.Loaded loaded) {
            load(loaded.sheet(), actions);
        } else if (event instanceof RevisionEvent.LoadFailed failed) {
            failLoad(failed, now, actions);
        } else {
            tick(now, actions);
        }
        judge(now, actions);
        return actions;
    }

    /** Any event that comes long after the last tick shows that the process stood still. */
    private void detectPause(long now, List<RevisionAction> actions) {
        if (!mStarted || now - mLastTick > mSettings.pauseMillis()) {
            mStarted = true;
            mLastTick = now;
            // What was on its way before a pause may never come.
            mLoading = Optional.empty();
            beginSync(now, actions);
        }
    }

    private void beginSync(long now, List<RevisionAction> actions) {
        mFresh = false;
        mEpoch++;
        mSync = new Sync(now + mSettings.syncMillis());
        poll(now, actions);
        round(now, mSettings.syncPeers() + 1, actions);
    }

    private void tick(long now, List<RevisionAction> actions) {
        mLastTick = now;
        if (mSync != null && mSync.isOver(now) && !mSync.isHeard() && mightBeHeard()) {
            beginSync(now, actions);
        }
        if (now >= mNextRound) {
            round(now, mSettings.roundPeers(), actions);
        }
        if (now >= mNextPoll) {
            poll(now, actions);
        }
        if (mLoading.isPresent() && now >= mLoadDeadline) {
            mLoading = Optional.empty();
        }
        startLoad(now, actions);
    }

    private void changePeers(List<InstanceId> peers, List<RevisionAction> actions) {
        boolean first = mPeers.isEmpty();
        mPeers = List.copyOf(peers);
        if (first && mSync != null) {
            // A starting process learns its peers later than it begins to ask for revisions.
            choose(mSettings.syncPeers() + 1).forEach(p -> exchange(p, actions));
        }
    }

    private void readHead(RevisionEvent.HeadRead read, long now, List<RevisionAction> actions) {
        mLastHeard = now;
        if (mSync != null && read.epoch() == mEpoch) {
            mSync.storeAnswered();
        }
        read.head().ifPresent(this::want);
        startLoad(now, actions);
    }

    private void hearPeer(RevisionEvent.PeerSaid said, long now, List<RevisionAction> actions) {
        mLastHeard = now;
        if (mSync != null && said.epoch() == mEpoch) {
            mSync.peerAnswered(said.peer(), said.fresh());
        }
        if (said.head().isPresent()) {
            want(said.head().get());
            if (isMissing(said.head().get().revision())) {
                mSources.remove(said.peer());
                mSources.addFirst(said.peer());
            }
        }
        startLoad(now, actions);
    }

    private void want(Head head) {
        if (head.revision().isAfter(newestKnown())) {
            mWanted = Optional.of(head);
            mSources.clear();
        }
    }

    /** Tells whether a revision is the one wanted and not in force. */
    private boolean isMissing(Revision revision) {
        Revision inForce = mInForce.map(AcceptedSheet::revision).orElse(Revision.NONE);
        return revision.isAfter(inForce) && revision.equals(newestKnown());
    }

    private void startLoad(long now, List<RevisionAction> actions) {
        if (mWanted.isEmpty() || !isMissing(mWanted.get().revision())) {
            return;
        }
        if (mLoading.isPresent()) {
            Revision loading = mLoading.get().head().revision();
            if (!mWanted.get().revision().isAfter(loading)) {
                return;
            }
        }
        if (mSources.isEmpty() && now < mNextStoreLoad) {
            return;
        }
        Optional<InstanceId> source = Optional.ofNullable(mSources.pollFirst());
        RevisionAction.Load load = new RevisionAction.Load(mWanted.get(), source);
        mLoading = Optional.of(load);
        mLoadDeadline = now + mSettings.loadMillis();
        actions.add(load);
    }

    private void load(AcceptedSheet sheet, List<RevisionAction> actions) {
        boolean awaited =
                mLoading.map(l -> l.head().revision().compareTo(sheet.revision()) <= 0)
                        .orElse(false);
        if (awaited) {
            mLoading = Optional.empty();
        }
        Revision inForce = mInForce.map(AcceptedSheet::revision).orElse(Revision.NONE);
        if (!sheet.revision().isAfter(inForce)) {
            return;
        }
        mInForce = Optional.of(sheet);
        actions.add(new RevisionAction.PutInForce(sheet));
        choose(mSettings.pushPeers()).forEach(p -> exchange(p, actions));
    }

    private void failLoad(RevisionEvent.LoadFailed failed, long now, List<RevisionAction> actions) {
        boolean current =
                mLoading.filter(l -> l.head().revision().equals(failed.revision()))
                        .filter(l -> l.peer().equals(failed.peer()))
                        .isPresent();
        if (!current) {
            return;
        }
        mLoading = Optional.empty();
        if (failed.peer().isEmpty()) {
            // A failing store is not pressed; a peer that has the content is asked at once.
            mNextStoreLoad = now + mSettings.loadMillis();
        }
        startLoad(now, actions);
    }

    /** Decides whether the process may dispatch under what it has in force. */
    private void judge(long now, List<RevisionAction> actions) {
        if (mSync != null) {
            boolean known = mSync.isEnough(Math.min(mSettings.syncPeers(), mPeers.size()));
            boolean caughtUp = newestKnown().equals(revisionInForce());
            boolean done = known && caughtUp;
            boolean silent = !mSync.isHeard() && mightBeHeard();
            // Content that nobody can give must not stop all instances for good.
            boolean patient = !caughtUp && !mSync.isOver(now - mSettings.isolationMillis());
            boolean outOfTime = mSync.isOver(now) && !silent && !patient;
            if (done || outOfTime) {
                mSync = null;
                mLastHeard = now;
            }
        }
        boolean isolated = mightBeHeard() && now - mLastHeard > mSettings.isolationMillis();
        mFresh = mSync == null && mInForce.isPresent() && !isolated;
    }

    private Revision revisionInForce() {
        return mInForce.map(AcceptedSheet::revision).orElse(Revision.NONE);
    }

    /** A process that knows of no other serves alone: nobody else can take its callers. */
    private boolean mightBeHeard() {
        return !mPeers.isEmpty();
    }

    private void poll(long now, List<RevisionAction> actions) {
        long period = mSettings.pollMillis(mPeers.size() + 1);
        mNextPoll = now + period / 2 + mRandom.nextLong(period);
        actions.add(new RevisionAction.ReadHead(mEpoch));
    }

    private void round(long now, int peers, List<RevisionAction> actions) {
        long period = mSettings.roundMillis();
        mNextRound = now + period / 2 + mRandom.nextLong(period);
        choose(peers).forEach(p -> exchange(p, actions));
    }

    private void exchange(InstanceId peer, List<RevisionAction> actions) {
        actions.add(new RevisionAction.Exchange(peer, mEpoch));
    }

    /** Draws up to {@code count} peers without repetition. */
    private List<InstanceId> choose(int count) {
        List<InstanceId> drawn = new ArrayList<>(mPeers);
        int wanted = Math.min(count, drawn.size());
        for (int i = 0; i < wanted; i++) {
            int other = i + mRandom.nextInt(drawn.size() - i);
            InstanceId chosen = drawn.get(other);
            drawn.set(other, drawn.get(i));
            drawn.set(i, chosen);
        }
        return drawn.subList(0, wanted);
    }
}
