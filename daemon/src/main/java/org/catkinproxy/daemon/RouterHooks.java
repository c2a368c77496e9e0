package org.catkinproxy.daemon;

import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.peer.PeerHooks;
import org.catkinproxy.route.RouteEvent;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Gives peers what this router has sent to engines, and takes what they have sent.
 *
 * <p>Peers are answered from a copy that is renewed all the time, so that none waits for the
 * dispatcher. Safe for use by any thread.
 */
final class RouterHooks implements PeerHooks, Disposable {
    private static final long COPY_MILLIS = 100;
    private static final int FULL_PERMILLE = 1_000;

    private final DispatchTask mDispatch;
    private final IntSupplier mOpenRequests;
    private final int mMaxRequests;
    private final Disposable mCopies;
    private volatile Map<EngineId, RouteEvent.InFlight> mInFlight = Map.of();

    private RouterHooks(DispatchTask dispatch, IntSupplier openRequests, int maxRequests) {
        mDispatch = dispatch;
        mOpenRequests = openRequests;
        mMaxRequests = maxRequests;
        mCopies =
                Flowable.interval(COPY_MILLIS, TimeUnit.MILLISECONDS)
                        .onBackpressureDrop()
                        .concatMapSingle(tick -> mDispatch.inFlight())
                        .subscribe(copy -> mInFlight = copy);
    }

    /**
     * Starts to copy what is in flight.
     *
     * @param openRequests how many requests this instance is working on
     * @param maxRequests how many it can
     */
    static RouterHooks start(DispatchTask dispatch, IntSupplier openRequests, int maxRequests) {
        return new RouterHooks(dispatch, openRequests, maxRequests);
    }

    @Override
    public Map<EngineId, RouteEvent.InFlight> inFlight() {
        return mInFlight;
    }

    @Override
    public void peerLoad(RouteEvent.PeerLoad load) {
        mDispatch.postEvent(load);
    }

    @Override
    public int loadPermille() {
        return Math.min(FULL_PERMILLE, mOpenRequests.getAsInt() * FULL_PERMILLE / mMaxRequests);
    }

    @Override
    public void dispose() {
        mCopies.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mCopies.isDisposed();
    }
}
