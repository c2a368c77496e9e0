package org.catkinproxy.gateway;

import org.catkinproxy.serving.UpstreamLoad;

import java.util.concurrent.TimeUnit;

/**
 * Follows the cache events of one engine for as long as it is listed.
 *
 * <p>A gap or a restart empties what is believed of the cache. An engine that takes no more
 * followers is asked again after a while. Used by the event loop only.
 */
final class CacheFollower {
    private static final long RETRY_MILLIS = 1_500;

    private final Gateway mGateway;
    private final EngineControl mControl;
    private final UpstreamLoad mLoad;
    private String mEpoch = "";
    private long mNext;

    private CacheFollower(Gateway gateway, EngineControl control, UpstreamLoad load) {
        mGateway = gateway;
        mControl = control;
        mLoad = load;
    }

    static void start(Gateway gateway, EngineControl control, UpstreamLoad load) {
        new CacheFollower(gateway, control, load).ask();
    }

    private void ask() {
        if (!mGateway.isCurrent(mLoad) || mGateway.isStopping()) {
            return;
        }
        mControl.cacheChanges(mLoad.upstream(), mNext).subscribe(this::take, e -> askLater());
    }

    /** An engine that can not be asked is found by the requests sent there, and logged then. */
    private void askLater() {
        mGateway.loop().schedule(this::ask, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void take(EngineControl.CacheChanges changes) {
        if (changes.lost() || !changes.epoch().equals(mEpoch)) {
            mLoad.cached().forget();
        }
        mEpoch = changes.epoch();
        mNext = changes.next();
        changes.changes().forEach(c -> mLoad.cached().told(c.scope(), c.part(), c.tokens()));
        mGateway.loop().execute(this::ask);
    }
}
