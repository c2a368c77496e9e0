package org.catkinproxy.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ticker;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.PropagationSettings;
import org.catkinproxy.revision.RevisionAction;
import org.catkinproxy.revision.RevisionEvent;
import org.catkinproxy.revision.RevisionMetadata;
import org.catkinproxy.revision.RevisionStateMachine;
import org.catkinproxy.task.Mailbox;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import io.reactivex.rxjava3.processors.FlowableProcessor;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Keeps the newest accepted configuration in force at this instance, and accepts new ones.
 *
 * <p>The task owns a {@link RevisionStateMachine} and carries out its actions. The configuration in
 * force is never replaced by one of a lower revision, and never emptied. All public methods may be
 * called by any thread.
 */
public final class ConfigTask implements Disposable {
    private static final long TICK_MILLIS = 100;
    private static final long IN_FORCE_MILLIS = 2_000;

    private final SheetStore mStore;
    private final RevisionPeers mPeers;
    private final Acceptance mAcceptance;
    private final Scheduler mScheduler;
    private final Ticker mTicker;
    private final PropagationSettings mSettings;
    private final RevisionStateMachine mMachine;
    private final Mailbox<RevisionEvent> mMailbox;
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private final FlowableProcessor<Configuration> mChanges =
            BehaviorProcessor.createDefault(Configuration.EMPTY).toSerialized();
    private volatile Configuration mCurrent = Configuration.EMPTY;
    private volatile Configuration mLastParsed = Configuration.EMPTY;
    private volatile Optional<AcceptedSheet> mInForce = Optional.empty();
    private volatile boolean mFresh;
    private volatile boolean mStoreFailing;
    private volatile long mLastTickMillis;

    private ConfigTask(
            SheetStore store,
            RevisionPeers peers,
            Scheduler scheduler,
            Ticker ticker,
            PropagationSettings settings,
            RandomGenerator random) {
        mStore = store;
        mPeers = checkNotNull(peers, "peers");
        mScheduler = checkNotNull(scheduler, "scheduler");
        mTicker = checkNotNull(ticker, "ticker");
        mSettings = checkNotNull(settings, "settings");
        mAcceptance = new Acceptance(store, scheduler);
        mMachine = new RevisionStateMachine(settings, random);
        mMailbox =
                Mailbox.open(
                        scheduler,
                        this::handle,
                        e -> EventLog.log(LogEvent.TASK_FAILED, "configuration", e));
    }

    /** Creates the task; it does nothing before {@link #start}. */
    public static ConfigTask create(
            TableService table,
            ObjectStore objects,
            RevisionPeers peers,
            Scheduler scheduler,
            Ticker ticker,
            PropagationSettings settings,
            RandomGenerator random) {
        return new ConfigTask(
                new SheetStore(table, objects), peers, scheduler, ticker, settings, random);
    }

    /** Begins to look for the newest revision in the store and at peers, and to keep up with it. */
    public void start() {
        mSubscriptions.add(mPeers.peers().subscribe(p -> post(new RevisionEvent.PeersChanged(p))));
        mSubscriptions.add(
                mPeers.said()
                        .subscribe(s -> post(said(s, RevisionEvent.PeerReported.UNSOLICITED))));
        mSubscriptions.add(
                Flowable.interval(0, TICK_MILLIS, TimeUnit.MILLISECONDS, mScheduler)
                        .onBackpressureDrop()
                        .subscribe(n -> post(new RevisionEvent.Tick())));
    }

    /** Returns the configuration in force, {@link Configuration#EMPTY} before the first. */
    public Configuration current() {
        return mCurrent;
    }

    /** Returns the sheet in force, if there is one. */
    public Optional<AcceptedSheet> inForce() {
        return mInForce;
    }

    /** Publishes the configuration in force, and every one that replaces it. */
    public Flowable<Configuration> changes() {
        return mChanges.onBackpressureLatest();
    }

    /**
     * Tells whether a request may be dispatched under the configuration in force.
     *
     * <p>False from a start or a pause of the process until the newest revision is known again, and
     * while neither the store nor any peer has been heard for long.
     */
    public boolean isFresh() {
        return mFresh && nowMillis() - mLastTickMillis <= mSettings.pauseThresholdMillis();
    }

    /**
     * Has a sheet accepted as the revision after {@code expected}, and puts it in force here.
     *
     * <p>Fails with {@code INVALID_SHEET}, with {@code REVISION_CONFLICT} naming the revision that
     * came first, or with {@code STORE_UNAVAILABLE}.
     */
    public Single<Revision> apply(String sheetCsv, Revision expected, String operator) {
        return mAcceptance
                .accept(sheetCsv, expected, operator)
                .doOnSuccess(
                        s -> {
                            EventLog.log(LogEvent.SHEET_ACCEPTED, s.revision(), operator);
                            post(new RevisionEvent.SheetLoaded(s));
                        })
                .flatMap(s -> awaitInForce(s.revision()));
    }

    /** Returns the sheet of a revision; fails with {@code NOT_FOUND} if there is none. */
    public Single<String> sheet(Revision revision) {
        Optional<AcceptedSheet> inForce = mInForce;
        if (inForce.isPresent() && inForce.get().revision().equals(revision)) {
            return Single.just(inForce.get().csv());
        }
        return mStore.accepted(revision)
                .flatMap(mStore::content)
                .map(AcceptedSheet::csv)
                .switchIfEmpty(Single.error(() -> noSuchRevision(revision)));
    }

    /** Returns the heads of the newest accepted revisions, the newest first. */
    public Single<List<RevisionMetadata>> history(int limit) {
        return mStore.history(limit);
    }

    @Override
    public void dispose() {
        mSubscriptions.dispose();
        mMailbox.dispose();
        mChanges.onComplete();
    }

    @Override
    public boolean isDisposed() {
        return mSubscriptions.isDisposed();
    }

    private Single<Revision> awaitInForce(Revision revision) {
        return mChanges.filter(c -> c.revision().compareTo(revision) >= 0)
                .firstOrError()
                .timeout(IN_FORCE_MILLIS, TimeUnit.MILLISECONDS, mScheduler)
                .map(c -> revision)
                // The store has accepted it; the next read of the head row brings it here.
                .onErrorReturnItem(revision);
    }

    private void post(RevisionEvent event) {
        mMailbox.post(event);
    }

    private void handle(RevisionEvent event) {
        long now = nowMillis();
        List<RevisionAction> actions = mMachine.handle(event, now);
        mLastTickMillis = now;
        for (RevisionAction action : actions) {
            run(action);
        }
        boolean wasFresh = mFresh;
        mFresh = mMachine.isFresh();
        if (wasFresh && !mFresh) {
            EventLog.log(LogEvent.CONFIGURATION_NOT_FRESH, mCurrent.revision());
        }
    }

    private void run(RevisionAction action) {
        if (action instanceof RevisionAction.Activate put) {
            putInForce(put.sheet());
        } else if (action instanceof RevisionAction.Exchange exchange) {
            exchange(exchange);
        } else if (action instanceof RevisionAction.ReadHeadRow read) {
            readHead(read);
        } else if (action instanceof RevisionAction.LoadSheet load) {
            load(load);
        }
    }

    private void putInForce(AcceptedSheet sheet) {
        Configuration configuration = parse(sheet);
        mInForce = Optional.of(sheet);
        mCurrent = configuration;
        EventLog.log(LogEvent.REVISION_IN_FORCE, sheet.revision(), sheet.metadata().operator());
        mChanges.onNext(configuration);
    }

    /** A sheet is parsed when it comes and again when it is put in force: the result is kept. */
    private Configuration parse(AcceptedSheet sheet) {
        Configuration last = mLastParsed;
        if (last.revision().equals(sheet.revision())) {
            return last;
        }
        Configuration parsed = sheet.configuration();
        mLastParsed = parsed;
        return parsed;
    }

    private void exchange(RevisionAction.Exchange exchange) {
        mPeers.exchange(exchange.peer())
                .subscribe(
                        s -> post(said(s, exchange.epoch())),
                        e -> EventLog.log(LogEvent.PEER_FAILED, exchange.peer(), e),
                        mSubscriptions);
    }

    private void readHead(RevisionAction.ReadHeadRow read) {
        mStore.head().subscribe(h -> hearStore(h, read.epoch()), this::missStore, mSubscriptions);
    }

    private void hearStore(Optional<RevisionMetadata> head, long epoch) {
        mStoreFailing = false;
        post(new RevisionEvent.HeadRowRead(head, epoch));
    }

    /** An outage is logged once, not at every read. */
    private void missStore(Throwable error) {
        if (!mStoreFailing) {
            EventLog.log(LogEvent.STORE_FAILED, "the head row", error);
        }
        mStoreFailing = true;
    }

    private void load(RevisionAction.LoadSheet load) {
        RevisionMetadata head = load.metadata();
        load.peer()
                .map(p -> mPeers.fetch(p, head, mInForce))
                .orElseGet(() -> mStore.content(head))
                .doOnSuccess(this::parse)
                .subscribe(
                        s -> post(new RevisionEvent.SheetLoaded(s)),
                        e -> failLoad(load, e.toString()),
                        () -> failLoad(load, "it is not there"),
                        mSubscriptions);
    }

    private void failLoad(RevisionAction.LoadSheet load, String why) {
        String source = load.peer().map(InstanceId::value).orElse("store");
        EventLog.log(LogEvent.REVISION_NOT_LOADED, load.metadata().revision(), source, why);
        post(new RevisionEvent.SheetLoadFailed(load.metadata().revision(), load.peer()));
    }

    private static RevisionEvent said(RevisionPeers.Said said, long epoch) {
        return new RevisionEvent.PeerReported(said.peer(), said.head(), said.fresh(), epoch);
    }

    private static CatkinException noSuchRevision(Revision revision) {
        return CatkinException.notRun(
                ErrorCode.NOT_FOUND,
                Step.CONFIGURE,
                CatkinException.NO_PEER,
                "there is no revision " + revision);
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mTicker.read());
    }
}
