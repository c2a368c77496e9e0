package org.catkinproxy.daemon;

import com.google.common.base.Ticker;

import org.catkinproxy.caller.ActiveRequests;
import org.catkinproxy.caller.CallerApi;
import org.catkinproxy.caller.CallerLimits;
import org.catkinproxy.caller.EntryDirectory;
import org.catkinproxy.caller.Gate;
import org.catkinproxy.calls.CallRunner;
import org.catkinproxy.calls.CallSettings;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.configuration.ConfigTask;
import org.catkinproxy.configuration.RevisionPeers;
import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.http.HttpLimits;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.HttpInstanceList;
import org.catkinproxy.platform.HttpObjectStore;
import org.catkinproxy.platform.HttpTableService;
import org.catkinproxy.platform.PlatformClient;
import org.catkinproxy.relay.Relay;
import org.catkinproxy.revision.SpreadSettings;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.service.OkHttpServiceClient;
import org.catkinproxy.settings.Limits;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.stream.ResumeTokenCodec;
import org.catkinproxy.upstream.EngineFleet;
import org.catkinproxy.upstream.EngineTimeouts;
import org.catkinproxy.upstream.HttpEngineClient;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * One running instance: all its tasks, tied together.
 *
 * <p>Started and stopped once, by one thread each.
 */
public final class Daemon {
    private static final int MAX_TOKENS = 32_768;
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(10);
    private static final Duration MAX_DEADLINE = Duration.ofMinutes(5);
    private static final int ENGINE_CONNECT_MILLIS = 500;
    private static final int ENGINE_CONTROL_MILLIS = 1_000;

    private final Settings mSettings;
    private final CompositeDisposable mTasks = new CompositeDisposable();
    private final ActiveRequests mActive = new ActiveRequests();
    private final ConfigTask mConfig;
    private final InstancePoller mInstances;
    private final EngineFleet mEngines;
    private final DispatchTask mDispatch;
    private final CallRunner mCalls;
    private final Relay mRelay;
    private final HttpListener mCallers;
    private volatile Fleet mFleet = Fleet.of(List.of(), Configuration.EMPTY);
    private volatile boolean mOpen = true;

    private Daemon(Settings settings) {
        mSettings = settings;
        HttpTableService table = HttpTableService.create(platform(settings.platform().table()));
        HttpObjectStore objects = HttpObjectStore.create(platform(settings.platform().objects()));
        mConfig =
                ConfigTask.create(
                        table,
                        objects,
                        RevisionPeers.NONE,
                        Schedulers.computation(),
                        Ticker.systemTicker(),
                        SpreadSettings.DEFAULT,
                        new SplittableRandom());
        mInstances =
                InstancePoller.start(
                        HttpInstanceList.create(platform(settings.platform().instances())));
        HttpEngineClient engineClient = HttpEngineClient.create(engineTimeouts(settings.limits()));
        mEngines = EngineFleet.create(engineClient, this::tell);
        mDispatch =
                DispatchTask.start(
                        settings.dispatch(),
                        new SplittableRandom(),
                        System::nanoTime,
                        Schedulers.computation(),
                        this::resync);
        mCalls =
                CallRunner.create(
                        new CallSettings(
                                settings.instance(),
                                settings.secrets().callReceiptKey(),
                                CallSettings.DEFAULT_RETENTION),
                        table,
                        objects,
                        OkHttpServiceClient.create());
        mRelay = Relay.create(mDispatch, mEngines, engineClient, Schedulers.computation());
        mCallers = openCallers();
    }

    /** Starts an instance; it serves callers when this returns. */
    public static Daemon start(Settings settings) {
        Daemon daemon = new Daemon(settings);
        daemon.begin();
        return daemon;
    }

    /** Returns the port on which callers are served. */
    public int callerPort() {
        return mCallers.port();
    }

    /** Returns the dispatch task. */
    public DispatchTask dispatch() {
        return mDispatch;
    }

    /** Returns the configuration task. */
    public ConfigTask configuration() {
        return mConfig;
    }

    /** Stops the instance: refuses new requests, lets those in progress end, and closes. */
    public void stop() {
        mOpen = false;
        long until = System.nanoTime() + mSettings.stopGrace().toNanos();
        while (inProgress() > 0 && System.nanoTime() < until) {
            sleepBriefly();
        }
        mCallers.close();
        mTasks.dispose();
        mInstances.dispose();
        mEngines.close();
        mDispatch.dispose();
        mCalls.dispose();
        mConfig.dispose();
        EventLog.log(LogEvent.DAEMON_STOPPED, mSettings.instance());
    }

    private void begin() {
        mTasks.add(
                Flowable.combineLatest(mInstances.changes(), mConfig.changes(), Fleet::of)
                        .subscribe(this::replaceFleet));
        mTasks.add(mConfig.changes().subscribe(this::configure));
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
        mDispatch.tell(new RouteEvent.SharesChanged(shares));
    }

    private void tell(RouteEvent event) {
        mDispatch.tell(event);
    }

    private void resync(EngineId engine) {
        mEngines.resync(engine);
    }

    private int inProgress() {
        return mActive.count() + mRelay.inProgress();
    }

    private HttpListener openCallers() {
        Limits limits = mSettings.limits();
        CallerApi api =
                CallerApi.create(
                        new CallerGate(),
                        mRelay,
                        mCalls,
                        pool -> mFleet.instances(pool),
                        new Entries(),
                        ResumeTokenCodec.create(mSettings.secrets().resumeTokenKey()),
                        new CallerLimits(
                                MAX_TOKENS,
                                DEFAULT_DEADLINE,
                                MAX_DEADLINE,
                                limits.heartbeat(),
                                limits.requestsPerSecond(),
                                limits.maxConcurrentRequests()),
                        mActive,
                        System::nanoTime);
        return HttpListener.open(
                mSettings.callers().host(),
                mSettings.callers().port(),
                new HttpLimits(
                        limits.maxBodyBytes(),
                        limits.maxHeaderBytes(),
                        (int) limits.bodyReadTimeout().toMillis(),
                        2 * limits.maxConcurrentRequests()),
                Optional.empty(),
                api);
    }

    private PlatformClient platform(URI base) {
        return PlatformClient.create(base.toString(), mSettings.platform().callTimeout());
    }

    private static EngineTimeouts engineTimeouts(Limits limits) {
        return new EngineTimeouts(
                ENGINE_CONNECT_MILLIS, (int) limits.streamIdle().toMillis(), ENGINE_CONTROL_MILLIS);
    }

    private static void sleepBriefly() {
        try {
            Thread.sleep(50);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What callers' requests depend on. Safe for use by any thread. */
    private final class CallerGate implements Gate {
        @Override
        public Configuration configuration() {
            return mConfig.current();
        }

        @Override
        public boolean isFresh() {
            return mConfig.isFresh();
        }

        @Override
        public boolean isOpen() {
            return mOpen;
        }
    }

    /** The entry instances for callers. Safe for use by any thread. */
    private final class Entries implements EntryDirectory {
        @Override
        public List<Entry> entries(String caller) {
            return mFleet.entries(caller);
        }

        @Override
        public long ttlMillis() {
            return mSettings.entriesTtl().toMillis();
        }
    }
}
