package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.serving.BufferBudget;
import org.catkinproxy.serving.CacheScopes;
import org.catkinproxy.serving.DesiredVersions;
import org.catkinproxy.serving.EngineLimits;
import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.LoopDelayEstimator;
import org.catkinproxy.serving.PeerLoads;
import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.PromptStoreView;
import org.catkinproxy.serving.RequestLimits;
import org.catkinproxy.serving.ServingConfig;
import org.catkinproxy.serving.SharedRetryBudget;
import org.catkinproxy.serving.StorePolling;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamChooser;
import org.catkinproxy.serving.UpstreamEligibility;
import org.catkinproxy.serving.UpstreamService;
import org.catkinproxy.serving.UpstreamState;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * One gateway process, with its listeners, connections and state.
 *
 * <p>Must only be used on its event loop, except for {@link #stop}, which any thread may call.
 */
public final class Gateway {
    private static final long SWEEP_INTERVAL_MILLIS = StorePolling.SWEEP_INTERVAL.toMillis();

    private final EventLoop mLoop;
    private final GatewaySettings mSettings;
    private final HeaderCodec mHeaderCodec;
    private final StatusResponder mStatusResponder;
    private final RowReader mRowReader;
    private final TableStore mStore;
    private final EventLog mLog;
    private final GatewayMetrics mMetrics = new GatewayMetrics();
    private final SplittableRandom mRandom = new SplittableRandom();
    private final PeerLoads mPeerLoads = PeerLoads.create();
    private final UpstreamEligibility mEligibility;
    private final UpstreamChooser mChooser;
    private final UpstreamConnectionPool mConnectionPool;
    private final EngineControl mEngineControl;
    private final UpstreamTracker mUpstreamTracker;
    private final ConfigWatcher mConfigWatcher;
    private final InstanceRegistry mInstanceRegistry;
    private final PeerMessenger mPeerMessenger;
    private final CacheTracker mCacheTracker;
    private final PromptGuard mPromptGuard;
    private final LimitGuard mLimitGuard;
    private final RolloutBroadcast mRolloutBroadcast;
    private final RolloutTask mRolloutTask;
    private final StopSequence mStopSequence;
    private final Map<ServiceId, SharedRetryBudget> mRetryBudgets = new HashMap<>();
    private final TableWatches mTableWatches;
    private final StoreProber mStoreProber;
    private final OpenRequests mOpenRequests = new OpenRequests();
    private final PromptStoreViews mPromptStoreViews;
    private final BufferBudget<UpstreamAttempt> mBufferBudget;
    private final LoopDelayEstimator mLoopDelay =
            LoopDelayEstimator.of(
                    TimeUnit.MILLISECONDS.toNanos(SWEEP_INTERVAL_MILLIS), System.nanoTime());
    private final StartQueue mStartQueue;
    private final ListenerQueue mListenerQueue;
    private Channel mCallerListener;

    /** The store's era, empty before its first response. */
    private OptionalLong mStoreEra = OptionalLong.empty();

    private Gateway(
            EventLoop loop,
            GatewaySettings settings,
            HeaderCodec headerCodec,
            DirectoryCodec directoryCodec,
            RowReader rowReader,
            TableStore store,
            EngineControl engineControl,
            EventLog log) {
        mLoop = loop;
        mSettings = settings;
        mHeaderCodec = headerCodec;
        mStatusResponder = new StatusResponder(this, directoryCodec);
        mRowReader = rowReader;
        mStore = store;
        mEngineControl = engineControl;
        mLog = log;
        mUpstreamTracker = new UpstreamTracker(this, settings.upstreamDrainTime());
        mConfigWatcher = new ConfigWatcher(this, settings.outdatedWeightsGrace());
        mConnectionPool = new UpstreamConnectionPool(loop, headerCodec, log);
        mInstanceRegistry = new InstanceRegistry(this, store);
        mPeerMessenger = new PeerMessenger(this, settings.peerAddress());
        mTableWatches = new TableWatches(this, store);
        mStoreProber = new StoreProber(this, settings.instance());
        mCacheTracker = new CacheTracker(this, engineControl, settings.instance());
        mPromptStoreViews = new PromptStoreViews(mCacheTracker);
        mLimitGuard = new LimitGuard(this, settings.instance());
        mEligibility = UpstreamEligibility.of(mLimitGuard);
        mChooser = UpstreamChooser.of(mRandom, mPeerLoads, mLimitGuard);
        mPromptGuard = new PromptGuard(this, store, settings.instance());
        String session = Long.toHexString(mRandom.nextLong());
        mRolloutBroadcast = new RolloutBroadcast(this, settings.instance());
        mRolloutTask =
                new RolloutTask(
                        this,
                        store,
                        engineControl,
                        settings.instance(),
                        session,
                        settings.leaseTtl(),
                        mRolloutBroadcast);
        mStopSequence = new StopSequence(this, settings.stopGrace());
        mStartQueue = new StartQueue(loop, mLoopDelay);
        mListenerQueue = new ListenerQueue(loop, mLoopDelay);
        mBufferBudget = BufferBudget.of(settings.maxBufferedResponseBytes());
    }

    /** Returns a gateway that has not been started. */
    public static Gateway of(
            EventLoop loop,
            GatewaySettings settings,
            HeaderCodec headerCodec,
            DirectoryCodec directoryCodec,
            RowReader rowReader,
            TableStore store,
            EngineControl engineControl,
            EventLog log) {
        return new Gateway(
                loop, settings, headerCodec, directoryCodec, rowReader, store, engineControl, log);
    }

    /** Opens the listeners and starts to watch the store's tables. */
    public void start() {
        mCallerListener =
                logFailure(CallerListener.listen(this, mSettings.callerAddress()), "front")
                        .channel();
        mSettings.readinessAddress().ifPresent(a -> startHttpServer(a, "probe"));
        mSettings.directoryAddress().ifPresent(a -> startHttpServer(a, "directory"));
        startHttpServer(mSettings.metricsAddress(), "metrics");
        logFailure(mPeerMessenger.start(), "peers");
        mStore.setEraListener(this::onStoreEra);
        mInstanceRegistry.start();
        mPromptGuard.start();
        mCacheTracker.start();
        mTableWatches.start(mRowReader.operatorTable(), mConfigWatcher, () -> Duration.ZERO);
        mTableWatches.start(mRowReader.upstreamTable(), mUpstreamTracker, this::upstreamPollDelay);
        mLoop.scheduleAtFixedRate(
                GuardedTask.of(mLog, "sweep", this::sweep),
                SWEEP_INTERVAL_MILLIS,
                SWEEP_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        mLog.record(
                GatewayEvent.STARTED,
                "front",
                hostAndPort(mSettings.callerAddress()),
                "cpu",
                mSettings.cpuShare());
        mLog.flush();
    }

    private void onStoreEra(long era) {
        mLog.record(GatewayEvent.STORE_ERA, "era", era);
        mRolloutTask.onNewEra(era);
        boolean isReturn = mStoreEra.isPresent();
        mStoreEra = OptionalLong.of(era);
        if (isReturn) {
            mUpstreamTracker.onStoreRestored();
            mInstanceRegistry.onStoreRestored();
            mPromptGuard.onStoreRestored();
            mTableWatches.onNewEra(era);
            mPeerMessenger.sendHeartbeat();
        }
    }

    /** Returns the store's era, empty before its first response. */
    OptionalLong storeEra() {
        return mStoreEra;
    }

    private Duration upstreamPollDelay() {
        return FleetIntervals.upstreamPollDelay(instanceCount(), mSettings.upstreamDrainTime());
    }

    TableWatches tableWatches() {
        return mTableWatches;
    }

    StoreProber storeProber() {
        return mStoreProber;
    }

    /** Handles a peer's report that the store does not respond to it. */
    void onPeerStoreOutage() {
        if (mUpstreamTracker.onPeerStoreOutage()) {
            checkStore();
        }
    }

    private void checkStore() {
        mStore.readRow(mRowReader.upstreamTable(), mSettings.instance().value())
                .subscribe(
                        rows -> mUpstreamTracker.onStoreChecked(),
                        mUpstreamTracker::onStoreCheckFailed);
    }

    private void startHttpServer(InetSocketAddress address, String name) {
        logFailure(SimpleHttpServer.listen(mLoop, address, mStatusResponder), name);
    }

    /**
     * Logs a failure to bind without stopping the process: the platform detects such a process as
     * not ready or as missing.
     */
    private ChannelFuture logFailure(ChannelFuture bound, String name) {
        return bound.addListener(
                f -> {
                    if (!f.isSuccess()) {
                        mLog.record(
                                GatewayEvent.LISTENER_FAILED, "name", name, "reason", f.cause());
                    }
                });
    }

    /**
     * Starts a planned stop; runs {@code onStopped} on the event loop when the process may exit.
     */
    public void stop(Runnable onStopped) {
        long requestedAt = now();
        mLoop.execute(() -> mStopSequence.begin(requestedAt, onStopped));
    }

    /** Logs that the settings file has changed; the running process keeps its settings. */
    public void onSettingsChanged() {
        mLog.record(GatewayEvent.SETTINGS_RELOADED, "config", configVersion());
    }

    private void sweep() {
        long now = now();
        mLoopDelay.onTick(now);
        joinIfReady();
        mOpenRequests.closeTimedOutConnections(now);
        mConnectionPool.expire();
        mUpstreamTracker.expire();
        if (mUpstreamTracker.startRepeatedStoreCheck()) {
            checkStore();
        }
        mPeerLoads.expire(now, FleetIntervals.heartbeatTimeout(instanceCount()).toNanos());
        mInstanceRegistry.expire();
        mStoreProber.update();
        mLimitGuard.expire();
        mRolloutTask.ensureRunning();
        mLog.flush();
    }

    /**
     * Returns a new exchange for a request.
     *
     * @throws CatkinException if the request is not allowed or is malformed
     */
    Exchange admit(CallerConnection connection, HttpRequest request, ByteBuf body) {
        return Admission.admit(this, connection, request, body);
    }

    /**
     * Checks that a planned stop leaves enough time for a request.
     *
     * @throws CatkinException if the request has to go to another instance
     */
    void checkAccepts(AdmittedRequest request) {
        mStopSequence.checkAccepts(Duration.ofNanos(request.timeoutNanos()));
    }

    /** Logs a request that was refused at admission. */
    void logRefusal(HttpHeaders headers, CatkinException reason) {
        mLog.record(
                GatewayEvent.REQUEST_REFUSED,
                "request",
                Admission.requestIdOrNone(mHeaderCodec, headers),
                "code",
                reason.code().wireName(),
                "reason",
                reason.getMessage(),
                "config",
                configVersion());
    }

    /**
     * Records how much of a response an attempt buffers. If all together exceed the limit, the
     * attempt that buffers most fails.
     */
    void recordBufferedBytes(UpstreamAttempt attempt, int bytes) {
        mBufferBudget.record(attempt, bytes).ifPresent(UpstreamAttempt::onBufferBudgetExceeded);
    }

    OpenRequests openRequests() {
        return mOpenRequests;
    }

    void stopListening() {
        mCallerListener.close();
    }

    RandomGenerator random() {
        return mRandom;
    }

    long now() {
        return System.nanoTime();
    }

    /**
     * Returns whether the instance accepts callers: its configuration and upstreams are loaded, as
     * it would refuse all requests without them, and it is not stopping.
     */
    boolean isReady() {
        return mConfigWatcher.config().isPresent() && mUpstreamTracker.isLoaded() && !isStopping();
    }

    /** Announces this instance to the other instances if it is ready. */
    void joinIfReady() {
        if (isReady() && mLoopDelay.turnNanos(now()) == 0) {
            mInstanceRegistry.join();
        }
    }

    LoopDelayEstimator loopDelay() {
        return mLoopDelay;
    }

    ListenerQueue listenerQueue() {
        return mListenerQueue;
    }

    StartQueue startQueue() {
        return mStartQueue;
    }

    boolean isStopping() {
        return mStopSequence.hasBegun();
    }

    boolean isStoreReachable() {
        return mConfigWatcher.isConnected() && mUpstreamTracker.isConnected();
    }

    int instanceCount() {
        return mInstanceRegistry.instanceCount();
    }

    Optional<ServingConfig> config() {
        return mConfigWatcher.config();
    }

    long configVersion() {
        return mConfigWatcher.config().map(ServingConfig::version).orElse(0L);
    }

    /** Returns the scopes in which prompts are cached under the newest configuration. */
    CacheScopes cacheScopes() {
        return mConfigWatcher
                .config()
                .map(ServingConfig::cacheScopes)
                .orElse(CacheScopes.ALL_SHARED);
    }

    RequestLimits limits() {
        return mConfigWatcher.config().map(ServingConfig::limits).orElse(RequestLimits.DEFAULT);
    }

    DesiredVersions desiredVersions() {
        return mConfigWatcher.desiredVersions();
    }

    UpstreamTracker upstreamTracker() {
        return mUpstreamTracker;
    }

    Collection<UpstreamState> upstreamStates(ServiceId service) {
        return mUpstreamTracker.states(service);
    }

    /** Returns the state of an upstream process, empty if it is no longer listed. */
    Optional<UpstreamState> upstreamState(Upstream upstream) {
        return mUpstreamTracker.state(upstream);
    }

    /** Returns the number of parts of the newest configuration that could not be read. */
    int configProblemCount() {
        return mConfigWatcher.problemCount();
    }

    /** Returns the prompt store responsible for a prompt, empty if there is none. */
    Optional<PromptStoreView> promptStoreView(Prompt prompt) {
        return mPromptStoreViews.select(prompt);
    }

    /** Tracks the prompt stores of a new configuration. */
    void onConfigChanged(ServingConfig config) {
        mPromptStoreViews.setStores(config.promptStores());
    }

    EngineControl engineControl() {
        return mEngineControl;
    }

    /** Returns the limits of a service's engines, empty if none are configured. */
    Optional<EngineLimits> engineLimits(ServiceId service) {
        return mConfigWatcher
                .config()
                .map(c -> c.services().get(service))
                .flatMap(UpstreamService::engineLimits);
    }

    SharedRetryBudget retryBudget(ServiceId service) {
        return mRetryBudgets.computeIfAbsent(
                service,
                k ->
                        SharedRetryBudget.of(
                                mSettings.retryRatio(),
                                mSettings.extraRetriesPerWindow(),
                                mSettings.retryWindow().toNanos()));
    }

    /** Returns the number of requests that all instances are known to have open at an upstream. */
    int openRequestsAt(Upstream upstream) {
        int own = upstreamState(upstream).map(UpstreamState::inFlight).orElse(0);
        return own + mPeerLoads.total(upstream.id()).requests();
    }

    PeerLoads peerLoads() {
        return mPeerLoads;
    }

    PeerMessenger peerMessenger() {
        return mPeerMessenger;
    }

    CacheTracker cacheTracker() {
        return mCacheTracker;
    }

    LimitGuard limitGuard() {
        return mLimitGuard;
    }

    PromptGuard promptGuard() {
        return mPromptGuard;
    }

    RolloutBroadcast rolloutBroadcast() {
        return mRolloutBroadcast;
    }

    /** Handles a change of the set of other instances. */
    void onMembersChanged() {
        mCacheTracker.onMembersChanged();
    }

    GatewaySettings settings() {
        return mSettings;
    }

    UpstreamEligibility eligibility() {
        return mEligibility;
    }

    UpstreamChooser chooser() {
        return mChooser;
    }

    UpstreamConnectionPool connectionPool() {
        return mConnectionPool;
    }

    HeaderCodec headerCodec() {
        return mHeaderCodec;
    }

    RowReader rowReader() {
        return mRowReader;
    }

    InstanceRegistry instanceRegistry() {
        return mInstanceRegistry;
    }

    RolloutTask rolloutTask() {
        return mRolloutTask;
    }

    EventLoop loop() {
        return mLoop;
    }

    EventLog log() {
        return mLog;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
