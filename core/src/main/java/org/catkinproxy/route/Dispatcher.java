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
 * Dispatches requests to engines, queues those that have to wait, and refuses those that cannot be
 * served in time.
 *
 * <p>A deterministic state machine: each event, with the time at which it occurred, results in
 * actions. Invariants: a request is queued, in flight at one engine, or unknown; it is dispatched
 * only to a routable engine of its pool that has its weights loaded and is not excluded; a request
 * that is refused by {@link RouteAction.Refuse} was sent to no engine since it last arrived.
 *
 * <p>Not thread-safe: one task owns it.
 */
public final class Dispatcher {
    /**
     * The expected wait at an engine above which requests stay queued in the router, where they can
     * still be reordered.
     */
    private static final long MAX_ENGINE_QUEUE_NANOS = 1_000_000_000L;

    /** How long a request without an eligible engine is queued before it is refused. */
    private static final long NO_ENGINE_GRACE_NANOS = 2_000_000_000L;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** The number of requests at the head of a queue that are considered for dispatch. */
    private static final int MAX_SCANNED_REQUESTS = 16;

    private final DispatchSettings mSettings;
    private final BlockIndex mIndex = BlockIndex.create();
    private final EngineTable mEngines = new EngineTable(mIndex);
    private final EngineRanker mRanker;
    private final PoolQueues mQueues = new PoolQueues();
    private final EngineReservations mReservations = new EngineReservations();
    private final DispatchRetryBudget mRetryBudget = new DispatchRetryBudget();
    private final Map<RequestId, EngineId> mInFlight = new HashMap<>();
    private List<RouteAction> mActions = new ArrayList<>();

    private Dispatcher(DispatchSettings settings) {
        mSettings = checkNotNull(settings, "settings");
        mRanker = new EngineRanker(mEngines, mIndex, settings.policy());
    }

    /** Returns a dispatcher without engines and requests. */
    public static Dispatcher create(DispatchSettings settings) {
        return new Dispatcher(settings);
    }

    /**
     * Handles one event and returns the actions to perform, in order.
     *
     * @param nowNanos the time of the event, in nanoseconds on a monotonic clock
     */
    public List<RouteAction> handle(long nowNanos, RouteEvent event) {
        mActions = new ArrayList<>();
        if (event instanceof RouteEvent.RequestArrived arrived) {
            onRequestArrived(nowNanos, arrived);
        } else if (event instanceof RouteEvent.RequestCancelled cancelled) {
            onRequestCancelled(nowNanos, cancelled.request());
        } else if (event instanceof RouteEvent.AttemptStarted started) {
            onAttemptStarted(nowNanos, started);
        } else if (event instanceof RouteEvent.FirstTokenReceived first) {
            onFirstToken(nowNanos, first);
        } else if (event instanceof RouteEvent.AttemptFinished finished) {
            onAttemptFinished(nowNanos, finished);
        } else if (event instanceof RouteEvent.Tick) {
            onTick(nowNanos);
        } else if (event instanceof RouteEvent.SharesChanged changed) {
            mQueues.setShares(new WorkspaceShares(changed.shares()));
        } else if (event instanceof RouteEvent.PeerLoad load) {
            onPeerLoad(nowNanos, load);
        } else {
            onEngineEvent(nowNanos, event);
        }
        return mActions;
    }

    /**
     * Returns the candidates and the choice for a request, without dispatching it.
     *
     * @param nowNanos the current time, on the clock of the events
     */
    public RouteExplanation explain(long nowNanos, RouteRequest request) {
        mReservations.clear();
        List<RouteExplanation.Candidate> candidates = new ArrayList<>();
        for (EngineRanker.RankedEngine ranked :
                mRanker.rank(nowNanos, request, Set.of(), mReservations)) {
            candidates.add(
                    new RouteExplanation.Candidate(
                            ranked.engine().id(),
                            ranked.cachedTokens(),
                            ranked.queueNanos(),
                            ranked.firstTokenNanos(),
                            (long) ranked.cost()));
        }
        Optional<EngineId> choice =
                candidates.stream().findFirst().map(RouteExplanation.Candidate::engine);
        return new RouteExplanation(candidates, choice);
    }

    /** Returns the work that this router has in flight at each engine, for its peers. */
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

    /** Returns the number of requests that are queued in this router. */
    public int queuedRequests() {
        return mQueues.size();
    }

    private void onEngineEvent(long nowNanos, RouteEvent event) {
        if (event instanceof RouteEvent.EngineReported reported) {
            mEngines.applyReport(nowNanos, reported.report());
        } else if (event instanceof RouteEvent.EngineUnavailable unavailable) {
            mEngines.getOrAdd(nowNanos, unavailable.engine()).setAvailable(false);
        } else if (event instanceof RouteEvent.EngineAvailable available) {
            mEngines.getOrAdd(nowNanos, available.engine()).setAvailable(true);
        } else if (event instanceof RouteEvent.CacheChanged changed) {
            onCacheChanged(nowNanos, changed);
        } else if (event instanceof RouteEvent.CacheSnapshot snapshot) {
            onCacheSnapshot(nowNanos, snapshot);
        } else {
            throw new IllegalArgumentException("unknown event: " + event);
        }
    }

    private void onRequestArrived(long nowNanos, RouteEvent.RequestArrived event) {
        RouteRequest request = event.request();
        if (mQueues.get(request.id()) != null) {
            return;
        }
        endInFlightAttempt(nowNanos, request.id());
        if (event.excludedEngines().isEmpty()) {
            mRetryBudget.recordArrival();
        } else if (!mRetryBudget.tryRetry()) {
            refuse(request.id(), ErrorCode.RATE_LIMITED);
            return;
        }
        if (mQueues.wouldWaitTooLong(nowNanos, request)) {
            refuse(request.id(), ErrorCode.DEADLINE_UNREACHABLE);
            return;
        }
        mQueues.add(new QueuedRequest(request, Set.copyOf(event.excludedEngines()), nowNanos));
        dispatchQueued(nowNanos);
        if (mQueues.size() > mSettings.maxQueued()) {
            refuseQueued(mQueues.requestToShed(), ErrorCode.QUEUE_FULL);
        }
    }

    private void onRequestCancelled(long nowNanos, RequestId request) {
        QueuedRequest queued = mQueues.get(request);
        if (queued != null) {
            mQueues.remove(queued);
        }
        endInFlightAttempt(nowNanos, request);
    }

    private void onAttemptStarted(long nowNanos, RouteEvent.AttemptStarted event) {
        EngineState engine = mEngines.get(event.engine());
        Attempt attempt = engine == null ? null : engine.attempt(event.request());
        if (attempt != null) {
            int promptTokens = attempt.mRequest.blocks().promptTokens();
            engine.setUncachedTokens(attempt, Math.max(0, promptTokens - event.cachedTokens()));
        }
    }

    private void onFirstToken(long nowNanos, RouteEvent.FirstTokenReceived event) {
        EngineState engine = mEngines.get(event.engine());
        Attempt attempt = engine == null ? null : engine.attempt(event.request());
        if (attempt != null) {
            engine.recordFirstToken(nowNanos, attempt);
        }
    }

    private void onAttemptFinished(long nowNanos, RouteEvent.AttemptFinished event) {
        mInFlight.remove(event.request(), event.engine());
        EngineState engine = mEngines.get(event.engine());
        if (engine != null) {
            engine.endAttempt(nowNanos, event.request());
            dispatchQueued(nowNanos);
        }
    }

    /**
     * Ends the attempt that a request has in flight, if any.
     *
     * <p>The engine may be unknown: an engine that restarted after the dispatch has no attempt of
     * the request, and so may have been removed as expired.
     */
    private void endInFlightAttempt(long nowNanos, RequestId request) {
        EngineId id = mInFlight.remove(request);
        EngineState engine = id == null ? null : mEngines.get(id);
        if (engine != null) {
            engine.endAttempt(nowNanos, request);
        }
    }

    private void onPeerLoad(long nowNanos, RouteEvent.PeerLoad event) {
        RouteEvent.InFlight none = new RouteEvent.InFlight(0, 0);
        for (EngineState engine : mEngines.all()) {
            RouteEvent.InFlight load = event.inFlight().getOrDefault(engine.id(), none);
            engine.load().setPeerInFlight(nowNanos, event.peer(), load);
        }
    }

    private void onCacheChanged(long nowNanos, RouteEvent.CacheChanged event) {
        EngineState engine = mEngines.get(event.engine());
        if (engine != null && engine.isCurrentIncarnation(event.incarnation())) {
            engine.cacheEvents().apply(nowNanos, event);
            requestSnapshotIfDue(nowNanos, engine);
        }
    }

    private void onCacheSnapshot(long nowNanos, RouteEvent.CacheSnapshot event) {
        EngineState engine = mEngines.get(event.engine());
        if (engine != null && engine.isCurrentIncarnation(event.incarnation())) {
            engine.cacheEvents().applySnapshot(nowNanos, event);
            requestSnapshotIfDue(nowNanos, engine);
        }
    }

    private void requestSnapshotIfDue(long nowNanos, EngineState engine) {
        if (engine.cacheEvents().tryBeginSnapshotRequest(nowNanos)) {
            mActions.add(new RouteAction.Resync(engine.id(), engine.report().incarnation()));
        }
    }

    private void onTick(long nowNanos) {
        mEngines.removeExpired(nowNanos);
        for (EngineState engine : mEngines.all()) {
            engine.load().expirePeers(nowNanos);
            requestSnapshotIfDue(nowNanos, engine);
        }
        for (QueuedRequest queued : List.copyOf(mQueues.all())) {
            if (queued.mRequest.deadlineNanos() <= nowNanos) {
                refuseQueued(queued, ErrorCode.DEADLINE_UNREACHABLE);
            }
        }
        dispatchQueued(nowNanos);
    }

    private void dispatchQueued(long nowNanos) {
        mReservations.clear();
        for (WaitQueue queue : mQueues.nonEmptyQueues()) {
            dispatchQueued(nowNanos, queue);
        }
    }

    /** Tries to dispatch queued requests; lists the queue again each time, as the order changes. */
    private void dispatchQueued(long nowNanos, WaitQueue queue) {
        Set<RequestId> tried = new HashSet<>();
        Optional<QueuedRequest> next = firstUntried(queue, tried);
        while (next.isPresent()) {
            tried.add(next.get().mRequest.id());
            tryDispatch(nowNanos, next.get());
            next = firstUntried(queue, tried);
        }
    }

    private static Optional<QueuedRequest> firstUntried(WaitQueue queue, Set<RequestId> tried) {
        return queue.first(MAX_SCANNED_REQUESTS).stream()
                .filter(q -> !tried.contains(q.mRequest.id()))
                .findFirst();
    }

    /** Dispatches a queued request, refuses it, or lets it wait for its best engine. */
    private void tryDispatch(long nowNanos, QueuedRequest queued) {
        RouteRequest request = queued.mRequest;
        List<EngineRanker.RankedEngine> ranked =
                mRanker.rank(nowNanos, request, queued.mExcludedEngines, mReservations);
        if (ranked.isEmpty()) {
            if (nowNanos - queued.mArrivedNanos >= NO_ENGINE_GRACE_NANOS) {
                refuseQueued(queued, ErrorCode.NO_ENGINE);
            }
            return;
        }
        EngineRanker.RankedEngine best = ranked.get(0);
        queued.mCostTokens = best.uncachedTokens();
        if (nowNanos + best.firstTokenNanos() > request.deadlineNanos()) {
            refuseQueued(queued, ErrorCode.DEADLINE_UNREACHABLE);
        } else if (best.queueNanos() <= MAX_ENGINE_QUEUE_NANOS) {
            dispatch(nowNanos, queued, best);
        } else {
            mReservations.add(best.engine(), best.firstTokenNanos() - best.queueNanos());
        }
    }

    private void dispatch(long nowNanos, QueuedRequest queued, EngineRanker.RankedEngine chosen) {
        mQueues.serve(queued);
        RouteRequest request = queued.mRequest;
        EngineState engine = chosen.engine();
        engine.addAttempt(new Attempt(request, engine.id(), nowNanos, chosen.uncachedTokens()));
        engine.recordBlocks(nowNanos, request);
        mInFlight.put(request.id(), engine.id());
        mActions.add(
                new RouteAction.Dispatch(
                        request.id(),
                        engine.id(),
                        engine.report().incarnation(),
                        chosen.cachedTokens(),
                        nowNanos + chosen.firstTokenNanos()));
    }

    private void refuseQueued(QueuedRequest queued, ErrorCode code) {
        mQueues.remove(queued);
        refuse(queued.mRequest.id(), code);
    }

    private void refuse(RequestId request, ErrorCode code) {
        mActions.add(new RouteAction.Refuse(request, code, RETRY_AFTER_MILLIS));
    }
}
