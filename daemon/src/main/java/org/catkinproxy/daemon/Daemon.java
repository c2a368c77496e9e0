package org.catkinproxy.daemon;

import com.google.common.base.Ticker;

import org.catkinproxy.caller.ActiveRequests;
import org.catkinproxy.caller.AdmissionState;
import org.catkinproxy.caller.CallerApi;
import org.catkinproxy.calls.CallAdmin;
import org.catkinproxy.calls.CallRunner;
import org.catkinproxy.calls.CallSettings;
import org.catkinproxy.calls.CallSweeper;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.configuration.ConfigTask;
import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.member.MembershipView;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.membership.StopTask;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.observe.Metrics;
import org.catkinproxy.observe.ServiceLevels;
import org.catkinproxy.operator.OperatorRoutes;
import org.catkinproxy.orders.HttpEngineControl;
import org.catkinproxy.orders.OrderSettings;
import org.catkinproxy.orders.OrderTask;
import org.catkinproxy.peer.PeerHooks;
import org.catkinproxy.peer.PeerLink;
import org.catkinproxy.peer.PeerTimeouts;
import org.catkinproxy.relay.Relay;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.PropagationSettings;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.service.OkHttpServiceClient;
import org.catkinproxy.settings.Limits;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.stop.StopSettings;
import org.catkinproxy.upstream.EngineFleet;
import org.catkinproxy.upstream.EngineTimeouts;
import org.catkinproxy.upstream.HttpEngineClient;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

/**
 * One running instance: all its tasks, tied together.
 *
 * <p>Started by one thread; may be stopped by any.
 */
public final class Daemon implements AutoCloseable {
    private static final int ENGINE_CONNECT_MILLIS = 500;
    private static final int ENGINE_CONTROL_MILLIS = 1_000;

    private final Settings mSettings;
    private final Incarnation mIncarnation = Incarnation.of(UUID.randomUUID().toString());
    private final CompositeDisposable mTasks = new CompositeDisposable();
    private final ActiveRequests mActive = new ActiveRequests();
    private final AdmissionState mGate = new CallerGate();
    private final Metrics mMetrics = Metrics.create();
    private final ServiceLevels mLevels;
    private final MembershipTask mMembership;
    private final ConfigTask mConfig;
    private final EngineFleet mEngines;
    private final DispatchTask mDispatch;
    private final RouterHooks mHooks;
    private final PeerLink mPeers;
    private final CallRunner mCalls;
    private final CallSweeper mCallSweeper;
    private final OrderTask mOrders;
    private final Relay mRelay;
    private final StopTask mStop;
    private final HttpListener mCallers;
    private final HttpListener mOperators;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private volatile boolean mWasLive;
    private volatile Fleet mFleet = Fleet.of(MembershipView.EMPTY, Configuration.EMPTY);

    private Daemon(Settings settings) {
        mSettings = settings;
        mLevels =
                ServiceLevels.create(
                        settings.instance(),
                        settings.burnWindows().shortWindow(),
                        settings.burnWindows().longWindow(),
                        System::nanoTime);
        Platform platform = Platform.of(settings.platform());
        mMembership =
                MembershipTask.create(
                        settings.instance(),
                        mIncarnation,
                        platform.instances(),
                        Schedulers.computation(),
                        Ticker.systemTicker(),
                        new SplittableRandom());
        HttpEngineClient engineClient = HttpEngineClient.create(engineTimeouts(settings.limits()));
        mEngines = EngineFleet.create(engineClient, this::tell, this::noteReport);
        mDispatch =
                DispatchTask.start(
                        settings.dispatch(),
                        System::nanoTime,
                        Schedulers.computation(),
                        mEngines::resync);
        mRelay =
                Relay.create(
                        mDispatch,
                        mEngines,
                        engineClient,
                        Schedulers.computation(),
                        new RelayMeasures(mMetrics, mLevels),
                        System::nanoTime);
        mHooks =
                RouterHooks.start(
                        mDispatch, this::openRequests, settings.limits().maxConcurrentRequests());
        mPeers = openPeerLink(mHooks);
        mConfig =
                ConfigTask.create(
                        platform.table(),
                        platform.objects(),
                        mPeers,
                        Schedulers.computation(),
                        Ticker.systemTicker(),
                        PropagationSettings.DEFAULT,
                        new SplittableRandom());
        OkHttpServiceClient serviceClient = OkHttpServiceClient.create();
        mCalls =
                CallRunner.create(
                        new CallSettings(
                                settings.instance(),
                                settings.secrets().callReceiptKey(),
                                CallSettings.DEFAULT_RETENTION),
                        platform.table(),
                        platform.objects(),
                        serviceClient);
        mCallSweeper =
                CallSweeper.start(
                        platform.table(),
                        platform.objects(),
                        serviceClient,
                        new ConfiguredServices(mConfig::current, pool -> mFleet.instances(pool)),
                        CallSweeper.DEFAULT_PERIOD);
        mOrders = startOrders(platform);
        mStop = createStop();
        mPeers.serve(settings.peers(), new InForce(), mConfig.changes());
        Listeners listeners = new Listeners(settings.limits(), mTasks);
        mCallers = listeners.open("callers", settings.callers(), callerApi());
        mOperators =
                listeners.open(
                        "operators",
                        settings.operators(),
                        operatorRoutes(CallAdmin.create(platform.table(), platform.objects()))
                                ::addTo);
    }

    /** Starts an instance; its ports are open when this returns. */
    public static Daemon start(Settings settings) {
        Daemon daemon = new Daemon(settings);
        daemon.begin();
        return daemon;
    }

    /** Returns the port on which callers are served. */
    public int callerPort() {
        return mCallers.port();
    }

    /** Returns the port on which operators are served. */
    public int operatorPort() {
        return mOperators.port();
    }

    /** Returns the port on which other daemons are answered. */
    public int peerPort() {
        return mPeers.port();
    }

    /** Returns the dispatch task. */
    public DispatchTask dispatch() {
        return mDispatch;
    }

    /** Returns the configuration task. */
    public ConfigTask configuration() {
        return mConfig;
    }

    /** Begins a planned stop; {@link #left} says when it is over. */
    public void stop() {
        mStop.stop();
    }

    /** Ends a planned stop at once, whatever is open; {@link #left} completes. */
    public void end() {
        mStop.end();
    }

    /** Completes when a planned stop is over and the process may end. */
    public Completable left() {
        return mStop.left();
    }

    /** Ends the instance at once; requests in progress are cut. */
    @Override
    public void close() {
        if (!mClosed.compareAndSet(false, true)) {
            return;
        }
        mRelay.close();
        mCallers.close();
        mOperators.close();
        mTasks.dispose();
        mStop.dispose();
        mHooks.dispose();
        mEngines.close();
        mDispatch.dispose();
        mOrders.dispose();
        mCallSweeper.dispose();
        mCalls.dispose();
        mConfig.dispose();
        mPeers.dispose();
        mMembership.dispose();
        EventLog.log(LogEvent.DAEMON_STOPPED, mSettings.instance());
    }

    private void begin() {
        mPeers.tellOperatorAddress(mSettings.operators().host() + ":" + operatorPort());
        mTasks.add(
                Flowable.combineLatest(mMembership.views(), mConfig.changes(), Fleet::of)
                        .observeOn(Schedulers.single())
                        .subscribe(this::replaceFleet));
        mTasks.add(mConfig.changes().subscribe(this::configure));
        mTasks.add(mMembership.views().subscribe(this::stopIfLeaving));
        mMembership.start(mConfig.changes());
        mConfig.start();
        EventLog.log(
                LogEvent.DAEMON_STARTED,
                mSettings.instance(),
                mSettings.callers().host() + ":" + callerPort());
    }

    private void replaceFleet(Fleet fleet) {
        mFleet = fleet;
        mEngines.update(fleet.engines());
    }

    private void configure(Configuration configuration) {
        Map<WorkspaceId, Integer> shares =
                configuration.workspaces().stream()
                        .collect(Collectors.toMap(Workspace::id, Workspace::share));
        mDispatch.postEvent(new RouteEvent.SharesChanged(shares));
    }

    /**
     * The platform, an operator at any instance or a peer may have said that this one leaves.
     *
     * <p>A list that lags may still mean an earlier start, so this one must have been live first.
     */
    private void stopIfLeaving(MembershipView view) {
        Optional<MemberState> self = view.find(mSettings.instance());
        if (self.isEmpty()) {
            return;
        }
        if (!self.get().leaving()) {
            mWasLive = true;
        } else if (mWasLive) {
            mStop.stop();
        }
    }

    private void tell(RouteEvent event) {
        mDispatch.postEvent(event);
    }

    private void noteReport(EngineReport report) {
        InstanceId instance = InstanceId.of(report.engine().value());
        mMembership.answered(instance, report.incarnation(), 0);
    }

    private int openRequests() {
        return mActive.count() + mRelay.inProgressCount() + mCallers.unwrittenCount();
    }

    private PeerLink openPeerLink(PeerHooks hooks) {
        return PeerLink.create(
                mSettings.instance(),
                mIncarnation,
                mMembership,
                hooks,
                PeerTimeouts.DEFAULT,
                mSettings.peers());
    }

    private OrderTask startOrders(Platform platform) {
        OrderSettings orders = OrderSettings.defaults(mSettings.instance());
        return OrderTask.start(
                orders,
                platform.table(),
                HttpEngineControl.create(orders.orderTimeout()),
                () -> mConfig.isFresh() ? mConfig.current() : Configuration.EMPTY,
                pool -> mFleet.orderTargets(pool),
                Schedulers.computation(),
                System::nanoTime);
    }

    private StopTask createStop() {
        StopSettings defaults = StopSettings.DEFAULT;
        return StopTask.create(
                new StopSettings(
                        mSettings.entriesTtl().toMillis(),
                        defaults.maxPropagationMillis(),
                        defaults.handOverTimeoutMillis()),
                this::openRequests,
                new StopSteps(),
                Schedulers.computation(),
                Ticker.systemTicker());
    }

    private CallerApi callerApi() {
        return new CallerSide(mSettings, mGate, mRelay, mCalls, mMembership, mActive)
                .api(pool -> mFleet.instances(pool));
    }

    private OperatorRoutes operatorRoutes(CallAdmin calls) {
        return new OperatorSide(
                        mSettings,
                        mGate,
                        mMembership,
                        mEngines,
                        mDispatch,
                        mConfig,
                        mPeers,
                        calls,
                        mLevels,
                        mMetrics,
                        this::openRequests)
                .routes();
    }

    private static EngineTimeouts engineTimeouts(Limits limits) {
        return new EngineTimeouts(
                ENGINE_CONNECT_MILLIS, (int) limits.streamIdle().toMillis(), ENGINE_CONTROL_MILLIS);
    }

    /** What callers' requests depend on. Safe for use by any thread. */
    private final class CallerGate implements AdmissionState {
        @Override
        public Configuration configuration() {
            return mConfig.current();
        }

        @Override
        public boolean isConfigurationFresh() {
            return mConfig.isFresh();
        }

        @Override
        public boolean acceptsRequests() {
            return mStop.isAccepting();
        }
    }

    /** What peers are told of the configuration. Safe for use by any thread. */
    private final class InForce implements PeerLink.InForce {
        @Override
        public Optional<AcceptedSheet> sheet() {
            return mConfig.inForce();
        }

        @Override
        public boolean isFresh() {
            return mConfig.isFresh();
        }
    }

    /** The steps of a planned stop that reach other processes. Safe for use by any thread. */
    private final class StopSteps implements StopTask.Steps {
        @Override
        public Completable announce() {
            return mPeers.announceLeave();
        }

        @Override
        public Completable handOver() {
            // Peers learn from engines; what calls left to record must reach the platform.
            return mCalls.whenDrained();
        }
    }
}
