package org.catkinproxy.route;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.cache.BlockIndex;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides where each request goes, which wait, and which are refused.
 *
 * <p>A state machine: each event, with the time at which it came, gives actions. The same events
 * give the same actions. Invariants: a request is waiting, in flight at one engine, or unknown; it
 * is dispatched only to an engine that is fit, of its pool, with exactly its weights, and not
 * excluded; what is refused by a {@link RouteAction.Refuse} was given to no engine since it
 * arrived.
 *
 * <p>Not safe for use by several threads: one task owns it.
 */
public final class Dispatcher {
    /** An engine with more work than this gets no more: what waits here can still be ordered. */
    private static final long MAX_ENGINE_QUEUE_NANOS = 1_000_000_000L;

    /** How long a request waits for an engine to appear that may answer it. */
    private static final long NO_ENGINE_GRACE_NANOS = 2_000_000_000L;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_LISTED = 16;

    private final DispatchSettings mSettings;
    private final BlockIndex mIndex = BlockIndex.create();
    private final EngineTable mEngines = new EngineTable(mIndex);
    private final EngineChooser mChooser;
    private final PoolQueues mQueues = new PoolQueues();
    private final Reservations mReserved = new Reservations();
    private final RetryBudget mRetries = new RetryBudget();
    private final Map<RequestId, EngineId> mInFlight = new HashMap<>();
    private List<RouteAction> mActions = new ArrayList<>();

    private Dispatcher(DispatchSettings settings) {
        mSettings = checkNotNull(settings, "settings");
        mChooser = new EngineChooser(mEngines, mIndex, settings.policy());
    }

    /** Returns a dispatcher that knows no engine. */
    public static Dispatcher create(DispatchSettings settings) {
        return new Dispatcher(settings);
    }

    /** Takes one event in and returns what is to be done, in order. */
    public List<RouteAction> handle(long nowNanos, RouteEvent event) {
        mActions = new ArrayList<>();
        if (event instanceof RouteEvent.Arrived arrived) {
            arrived(nowNanos, arrived);
        } else if (event instanceof RouteEvent.Withdrawn withdrawn) {
            withdrawn(nowNanos, withdrawn.request());
        } else if (event instanceof RouteEvent.Started started) {
            started(nowNanos, started);
        } else if (event instanceof RouteEvent.FirstToken first) {
            firstToken(nowNanos, first);
        } else if (event instanceof RouteEvent.Finished finished) {
            finished(nowNanos, finished);
        } else if (event instanceof RouteEvent.Tick) {
            tick(nowNanos);
        } else if (event instanceof RouteEvent.SharesChanged changed) {
            mQueues.setShares(new ShareTable(changed.shares()));
        } else if (event instanceof RouteEvent.PeerLoad load) {
            peerLoad(nowNanos, load);
        } else {
            engineEvent(nowNanos, event);
        }
        return mActions;
    }

    /** Returns the engines that would be weighed for the request now, and the choice. */
    public Explanation explain(long nowNanos, RouteRequest request) {
        mReserved.clear();
        List<Explanation.Candidate> candidates = new ArrayList<>();
        for (EngineChooser.Weighed w : mChooser.weigh(nowNanos, request, Set.of(), mReserved)) {
            candidates.add(
                    new Explanation.Candidate(
                            w.engine().id(),
                            w.cachedTokens(),
                            w.queueNanos(),
                            w.firstTokenNanos(),
                            (long) w.cost()));
        }
        Optional<EngineId> choice =
                candidates.stream().findFirst().map(Explanation.Candidate::engine);
        return new Explanation(candidates, choice);
    }

    /** Returns what this router has sent to engines and not yet seen answered, for its peers. */
    public Map<EngineId, RouteEvent.InFlight> inFlight() {
        Map<EngineId, RouteEvent.InFlight> result = new TreeMap<>();
        for (EngineState engine : mEngines.all()) {
            RouteEvent.InFlight inFlight = engine.inFlight();
            if (inFlight.requests() > 0) {
                result.put(engine.id(), inFlight);
            }
        }
        return result;
    }

    /** Returns how many requests wait in this router. */
    public int queued() {
        return mQueues.size();
    }

    private void engineEvent(long nowNanos, RouteEvent event) {
        if (event instanceof RouteEvent.Reported reported) {
            mEngines.accept(nowNanos, reported.report());
        } else if (event instanceof RouteEvent.Unavailable unavailable) {
            mEngines.getOrAdd(nowNanos, unavailable.engine()).setAvailable(false);
        } else if (event instanceof RouteEvent.Available available) {
            mEngines.getOrAdd(nowNanos, available.engine()).setAvailable(true);
        } else if (event instanceof RouteEvent.CacheChanged changed) {
            cacheChanged(nowNanos, changed);
        } else if (event instanceof RouteEvent.CacheSnapshot snapshot) {
            cacheSnapshot(nowNanos, snapshot);
        } else {
            throw new IllegalArgumentException("unknown event: " + event);
        }
    }

    private void arrived(long nowNanos, RouteEvent.Arrived event) {
        RouteRequest request = event.request();
        if (mQueues.get(request.id()) != null) {
            return;
        }
        forget(nowNanos, request.id());
        if (event.excluded().isEmpty()) {
            mRetries.arrived();
        } else if (!mRetries.tryRetry()) {
            refuse(request.id(), ErrorCode.RATE_LIMITED);
            return;
        }
        if (mQueues.isBehindOverdue(nowNanos, request)) {
            refuse(request.id(), ErrorCode.DEADLINE_UNREACHABLE);
            return;
        }
        mQueues.add(new Waiting(request, Set.copyOf(event.excluded()), nowNanos));
        dispatchWaiting(nowNanos);
        if (mQueues.size() > mSettings.maxQueued()) {
            giveUp(mQueues.leastWanted(), ErrorCode.QUEUE_FULL);
        }
    }

    private void withdrawn(long nowNanos, RequestId request) {
        Waiting waiting = mQueues.get(request);
        if (waiting != null) {
            mQueues.remove(waiting);
        }
        forget(nowNanos, request);
    }

    private void started(long nowNanos, RouteEvent.Started event) {
        EngineState engine = mEngines.get(event.engine());
        Attempt attempt = engine == null ? null : engine.attempt(event.request());
        if (attempt != null) {
            int prompt = attempt.mRequest.blocks().promptTokens();
            engine.correct(attempt, Math.max(0, prompt - event.cachedTokens()));
        }
    }

    private void firstToken(long nowNanos, RouteEvent.FirstToken event) {
        EngineState engine = mEngines.get(event.engine());
        Attempt attempt = engine == null ? null : engine.attempt(event.request());
        if (attempt != null) {
            engine.firstToken(nowNanos, attempt);
        }
    }

    private void finished(long nowNanos, RouteEvent.Finished event) {
        mInFlight.remove(event.request(), event.engine());
        EngineState engine = mEngines.get(event.engine());
        if (engine != null) {
            engine.end(nowNanos, event.request());
            dispatchWaiting(nowNanos);
        }
    }

    /** Ends what a request has in flight, if its engine is not forgotten since it began anew. */
    private void forget(long nowNanos, RequestId request) {
        EngineId id = mInFlight.remove(request);
        EngineState engine = id == null ? null : mEngines.get(id);
        if (engine != null) {
            engine.end(nowNanos, request);
        }
    }

    private void peerLoad(long nowNanos, RouteEvent.PeerLoad event) {
        RouteEvent.InFlight none = new RouteEvent.InFlight(0, 0);
        for (EngineState engine : mEngines.all()) {
            RouteEvent.InFlight load = event.inFlight().getOrDefault(engine.id(), none);
            engine.load().peer(nowNanos, event.peer(), load);
        }
    }

    private void cacheChanged(long nowNanos, RouteEvent.CacheChanged event) {
        EngineState engine = mEngines.get(event.engine());
        if (engine != null && engine.isPresent(event.incarnation())) {
            engine.feed().apply(nowNanos, event);
            askSnapshot(nowNanos, engine);
        }
    }

    private void cacheSnapshot(long nowNanos, RouteEvent.CacheSnapshot event) {
        EngineState engine = mEngines.get(event.engine());
        if (engine != null && engine.isPresent(event.incarnation())) {
            engine.feed().replace(nowNanos, event);
            askSnapshot(nowNanos, engine);
        }
    }

    private void askSnapshot(long nowNanos, EngineState engine) {
        if (engine.feed().shouldAsk(nowNanos)) {
            mActions.add(new RouteAction.Resync(engine.id(), engine.report().incarnation()));
        }
    }

    private void tick(long nowNanos) {
        mEngines.forgetSilent(nowNanos);
        for (EngineState engine : mEngines.all()) {
            engine.load().expirePeers(nowNanos);
            askSnapshot(nowNanos, engine);
        }
        for (Waiting waiting : List.copyOf(mQueues.all())) {
            if (waiting.mRequest.deadlineNanos() <= nowNanos) {
                giveUp(waiting, ErrorCode.DEADLINE_UNREACHABLE);
            }
        }
        dispatchWaiting(nowNanos);
    }

    private void dispatchWaiting(long nowNanos) {
        mReserved.clear();
        for (WaitQueue queue : mQueues.busy()) {
            dispatchWaiting(nowNanos, queue);
        }
    }

    /** Lists the queue anew after each dispatch, which changes whose turn it is. */
    private void dispatchWaiting(long nowNanos, WaitQueue queue) {
        Set<RequestId> decided = new HashSet<>();
        Optional<Waiting> next = firstUndecided(queue, decided);
        while (next.isPresent()) {
            decided.add(next.get().mRequest.id());
            decide(nowNanos, next.get());
            next = firstUndecided(queue, decided);
        }
    }

    private static Optional<Waiting> firstUndecided(WaitQueue queue, Set<RequestId> decided) {
        return queue.first(MAX_LISTED).stream()
                .filter(w -> !decided.contains(w.mRequest.id()))
                .findFirst();
    }

    private void decide(long nowNanos, Waiting waiting) {
        RouteRequest request = waiting.mRequest;
        List<EngineChooser.Weighed> weighed =
                mChooser.weigh(nowNanos, request, waiting.mExcluded, mReserved);
        if (weighed.isEmpty()) {
            if (nowNanos - waiting.mArrivedNanos >= NO_ENGINE_GRACE_NANOS) {
                giveUp(waiting, ErrorCode.NO_ENGINE);
            }
            return;
        }
        EngineChooser.Weighed best = weighed.get(0);
        waiting.mCostTokens = best.uncachedTokens();
        if (nowNanos + best.firstTokenNanos() > request.deadlineNanos()) {
            giveUp(waiting, ErrorCode.DEADLINE_UNREACHABLE);
        } else if (best.queueNanos() <= MAX_ENGINE_QUEUE_NANOS) {
            dispatch(nowNanos, waiting, best);
        } else {
            mReserved.add(best.engine(), best.firstTokenNanos() - best.queueNanos());
        }
    }

    private void dispatch(long nowNanos, Waiting waiting, EngineChooser.Weighed chosen) {
        mQueues.serve(waiting);
        RouteRequest request = waiting.mRequest;
        EngineState engine = chosen.engine();
        engine.start(new Attempt(request, engine.id(), nowNanos, chosen.uncachedTokens()));
        engine.learn(nowNanos, request);
        mInFlight.put(request.id(), engine.id());
        mActions.add(
                new RouteAction.Dispatch(
                        request.id(),
                        engine.id(),
                        engine.report().incarnation(),
                        chosen.cachedTokens(),
                        nowNanos + chosen.firstTokenNanos()));
    }

    private void giveUp(Waiting waiting, ErrorCode code) {
        mQueues.remove(waiting);
        refuse(waiting.mRequest.id(), code);
    }

    private void refuse(RequestId request, ErrorCode code) {
        mActions.add(new RouteAction.Refuse(request, code, RETRY_AFTER_MILLIS));
    }
}
