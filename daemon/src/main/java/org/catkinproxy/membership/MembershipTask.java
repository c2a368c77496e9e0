package org.catkinproxy.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ticker;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.member.InstanceInfo;
import org.catkinproxy.member.InstanceKind;
import org.catkinproxy.member.LeaveNotice;
import org.catkinproxy.member.Membership;
import org.catkinproxy.member.MembershipEvent;
import org.catkinproxy.member.MembershipView;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.InstanceList;
import org.catkinproxy.platform.ListedInstance;
import org.catkinproxy.task.Mailbox;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.processors.FlowableProcessor;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps up with which instances exist and which may be given work.
 *
 * <p>The task owns a {@link Membership}; what others learn is posted to it, and they read the views
 * that it publishes. All public methods may be called by any thread; none blocks.
 */
public final class MembershipTask implements Disposable {
    private static final long LIST_MILLIS = 1_000;

    /** How much later each entry instance lets all of them read the list, to spare the platform. */
    private static final long LIST_MILLIS_PER_ENTRY = 100;

    private static final int NOTES_PER_EXCHANGE = 20;

    private final InstanceId mSelf;
    private final Incarnation mIncarnation;
    private final InstanceList mList;
    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final Membership mMembership;
    private final Mailbox<MembershipEvent> mMailbox;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private final FlowableProcessor<MembershipView> mViews =
            BehaviorProcessor.createDefault(MembershipView.EMPTY).toSerialized();
    private volatile MembershipView mView = MembershipView.EMPTY;
    private volatile List<LeaveNotice> mNotesToTell = List.of();
    private volatile List<LeaveNotice> mAllNotes = List.of();
    private volatile List<InstanceId> mPeers = List.of();
    private volatile boolean mListFailing;

    private MembershipTask(
            InstanceId self,
            Incarnation incarnation,
            InstanceList list,
            Scheduler scheduler,
            Ticker ticker,
            RandomGenerator random) {
        mSelf = checkNotNull(self, "self");
        mIncarnation = checkNotNull(incarnation, "incarnation");
        mList = checkNotNull(list, "list");
        mScheduler = checkNotNull(scheduler, "scheduler");
        mTicker = checkNotNull(ticker, "ticker");
        mRandom = checkNotNull(random, "random");
        mMembership = new Membership(self);
        mMailbox =
                Mailbox.open(
                        scheduler,
                        this::handle,
                        e -> EventLog.log(LogEvent.TASK_FAILED, "membership", e));
    }

    /** Creates the task of instance {@code self}; it does nothing before {@link #start}. */
    public static MembershipTask create(
            InstanceId self,
            Incarnation incarnation,
            InstanceList list,
            Scheduler scheduler,
            Ticker ticker,
            RandomGenerator random) {
        return new MembershipTask(self, incarnation, list, scheduler, ticker, random);
    }

    /** Begins to read the list and to follow the configurations in force. */
    public void start(Flowable<Configuration> configurations) {
        answered(mSelf, mIncarnation, 0);
        mSubscriptions.add(
                configurations.subscribe(
                        c -> mMailbox.post(new MembershipEvent.ConfigurationChanged(c.members()))));
        mSubscriptions.add(
                Single.defer(mList::list)
                        .doOnSuccess(this::list)
                        .doOnError(this::missList)
                        .ignoreElement()
                        .onErrorComplete()
                        .repeatWhen(
                                done ->
                                        done.concatMap(
                                                d ->
                                                        Flowable.timer(
                                                                nextListMillis(),
                                                                TimeUnit.MILLISECONDS,
                                                                mScheduler)))
                        .subscribe());
    }

    /** Returns what is known now. */
    public MembershipView view() {
        return mView;
    }

    /** Publishes what is known, and every change of it. */
    public Flowable<MembershipView> views() {
        return mViews.onBackpressureLatest();
    }

    /** Publishes the other entry instances, and every change of them. */
    public Flowable<List<InstanceId>> peers() {
        return views().map(v -> mPeers).distinctUntilChanged();
    }

    /** Returns the other entry instances that are known now. */
    public List<InstanceId> peersNow() {
        return mPeers;
    }

    /** Takes note that an instance answered. */
    public void answered(InstanceId instance, Incarnation incarnation, int loadPermille) {
        mMailbox.post(new MembershipEvent.InstanceResponded(instance, incarnation, loadPermille));
    }

    /** Takes note that an instance could not be reached. */
    public void failed(InstanceId instance) {
        mMailbox.post(new MembershipEvent.InstanceFailed(instance));
    }

    /** Makes an instance leave: it gets no new work, and all peers are told. */
    public void stopAsked(InstanceId instance) {
        mMailbox.post(new MembershipEvent.StopRequested(instance));
    }

    /** Takes in what a peer passed on. */
    public void heard(List<LeaveNotice> notes) {
        if (!notes.isEmpty()) {
            mMailbox.post(new MembershipEvent.NoticesReceived(notes));
        }
    }

    /** Takes note of what was passed on to a peer. */
    public void told(List<LeaveNotice> notes) {
        if (!notes.isEmpty()) {
            mMailbox.post(new MembershipEvent.NoticesSent(notes));
        }
    }

    /** Returns the news to pass on now. */
    public List<LeaveNotice> notesToTell() {
        return mNotesToTell;
    }

    /** Returns all news, for a peer that has just started. */
    public List<LeaveNotice> allNotes() {
        return mAllNotes;
    }

    /** Tells whether this start of an instance has been heard from. */
    public boolean hasHeard(InstanceId instance, Incarnation incarnation) {
        return mView.find(instance)
                .flatMap(s -> s.incarnation())
                .filter(incarnation::equals)
                .isPresent();
    }

    @Override
    public void dispose() {
        mSubscriptions.dispose();
        mMailbox.dispose();
        mViews.onComplete();
    }

    @Override
    public boolean isDisposed() {
        return mSubscriptions.isDisposed();
    }

    private void handle(MembershipEvent event) {
        boolean changed = mMembership.handle(event, TimeUnit.NANOSECONDS.toMillis(mTicker.read()));
        mNotesToTell = mMembership.noticesToSend(NOTES_PER_EXCHANGE);
        if (!changed) {
            return;
        }
        mAllNotes = mMembership.allNotices();
        mPeers = mMembership.peers();
        MembershipView view = mMembership.view();
        if (!view.equals(mView)) {
            mView = view;
            mViews.onNext(view);
        }
    }

    private void list(List<ListedInstance> listed) {
        mListFailing = false;
        List<MembershipEvent.Listing> listings =
                listed.stream()
                        .map(l -> new MembershipEvent.Listing(info(l), l.leaving()))
                        .toList();
        mMailbox.post(new MembershipEvent.InstancesListed(listings));
    }

    /** An outage is logged once, not at every read. */
    private void missList(Throwable error) {
        if (!mListFailing) {
            EventLog.log(LogEvent.STORE_FAILED, "the instance list", error);
        }
        mListFailing = true;
    }

    private long nextListMillis() {
        long period = Math.max(LIST_MILLIS, mPeers.size() * LIST_MILLIS_PER_ENTRY);
        return period / 2 + mRandom.nextLong(period);
    }

    private static InstanceInfo info(ListedInstance listed) {
        return new InstanceInfo(
                listed.id(),
                kind(listed.kind()),
                listed.address(),
                listed.peerAddress(),
                listed.dataCentre(),
                Math.max(1, listed.weight()));
    }

    private static InstanceKind kind(ListedInstance.Kind kind) {
        return switch (kind) {
            case ENTRY -> InstanceKind.ENTRY;
            case ENGINE -> InstanceKind.ENGINE;
            case SERVICE -> InstanceKind.SERVICE;
        };
    }
}
