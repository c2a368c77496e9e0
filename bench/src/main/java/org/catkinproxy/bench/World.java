package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.route.RouteRequest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One run: engines, routers and callers of a deployment under a scenario.
 *
 * <p>Invariant: the calls depend on the seed and the scenario only, never on the routing. Used by
 * one thread; runs share nothing.
 */
final class World {
    private static final long CRASHED_NANOS = 3 * EventLoop.SECOND;
    private static final long DRAIN_NANOS = 30 * EventLoop.SECOND;

    private final Deployment mDeployment;
    private final Contender mContender;
    private final Scenario mScenario;
    private final EventLoop mLoop = new EventLoop();
    private final Traffic mTraffic;
    private final SplittableRandom mRandom;
    private final List<FakeEngine> mEngines = new ArrayList<>();
    private final Map<EngineId, FakeEngine> mEnginesById = new TreeMap<>();
    private final List<FakeRouter> mRouters = new ArrayList<>();
    private final List<Tally> mTallies = new ArrayList<>();
    private long mJobs;

    private World(Deployment deployment, Contender contender, Scenario scenario, long seed) {
        mDeployment = deployment;
        mContender = contender;
        mScenario = scenario;
        mTraffic = new Traffic(deployment, seed);
        mRandom = new SplittableRandom(~seed);
        for (EngineSpec spec : deployment.engines()) {
            FakeEngine engine = new FakeEngine(mLoop, mEngines.size(), spec);
            mEngines.add(engine);
            mEnginesById.put(engine.id(), engine);
        }
        for (int i = 0; i < deployment.routers(); i++) {
            mRouters.add(new FakeRouter(this, i, mRandom.split()));
        }
        scenario.spans().forEach(span -> mTallies.add(new Tally()));
    }

    /** Runs a scenario and returns what was measured in each of its spans. */
    static List<Tally> run(
            Deployment deployment, Contender contender, Scenario scenario, long seed) {
        World world = new World(deployment, contender, scenario, seed);
        world.scheduleCall();
        world.mLoop.after(scenario.faultNanos(), world::fail);
        world.mLoop.runUntil(scenario.endNanos() + DRAIN_NANOS);
        return world.mTallies;
    }

    EventLoop loop() {
        return mLoop;
    }

    Deployment deployment() {
        return mDeployment;
    }

    List<FakeEngine> engines() {
        return mEngines;
    }

    FakeEngine engine(EngineId id) {
        return mEnginesById.get(id);
    }

    List<FakeRouter> routers() {
        return mRouters;
    }

    Decider newDecider(long seed) {
        return mContender.create(mDeployment, mEngines, seed);
    }

    /** A caller keeps to the router it was told of, and takes the next after each failure. */
    FakeRouter pickRouter(Call call, int sends) {
        return mRouters.get((int) Math.floorMod(call.caller() + sends, (long) mRouters.size()));
    }

    long jitterNanos(long boundNanos) {
        return mRandom.nextLong(boundNanos);
    }

    Job newJob(FakeCaller caller, Job.Listener listener) {
        return new Job(caller.routeRequest(), caller.call().outputTokens(), mJobs++, listener);
    }

    void over(Call call, boolean inTime) {
        for (Tally tally : talliesAt(call.sentNanos())) {
            tally.over(call, mLoop.now(), inTime);
        }
    }

    /** Counts an attempt that an engine began; wasted is what another engine had at hand. */
    void computed(FakeCaller caller, FakeEngine engine, int cachedTokens) {
        RouteRequest request = caller.routeRequest();
        int best = 0;
        for (FakeEngine other : mEngines) {
            best = Math.max(best, other.cachedBlocks(request) * PromptBlocks.TOKENS_PER_BLOCK);
        }
        for (Tally tally : talliesAt(mLoop.now())) {
            tally.computed(
                    request.blocks().promptTokens(),
                    cachedTokens,
                    Math.max(0, best - cachedTokens));
        }
    }

    private void scheduleCall() {
        double load = mScenario.loadAt(mLoop.now());
        if (load == 0) {
            return;
        }
        mLoop.after(mTraffic.gapNanos(load * mDeployment.capacity()), this::call);
    }

    private void call() {
        if (mLoop.now() < mScenario.endNanos()) {
            Call call = mTraffic.next(mLoop.now());
            talliesAt(mLoop.now()).forEach(tally -> tally.sent(call));
            new FakeCaller(this, call).send();
            scheduleCall();
        }
    }

    private void fail() {
        switch (mScenario.fault()) {
            case NONE -> {}
            case ENGINE_CRASH -> {
                FakeEngine engine = mEngines.get(0);
                engine.crash();
                mLoop.after(CRASHED_NANOS, engine::restart);
            }
            case ROUTERS_RESTART -> mRouters.forEach(FakeRouter::restart);
            case PREFIX_SHIFT -> mTraffic.shiftPrefixes();
            default -> throw new AssertionError(mScenario.fault());
        }
    }

    private List<Tally> talliesAt(long nanos) {
        List<Tally> tallies = new ArrayList<>();
        for (int i = 0; i < mTallies.size(); i++) {
            if (mScenario.spans().get(i).contains(nanos)) {
                tallies.add(mTallies.get(i));
            }
        }
        return tallies;
    }
}
