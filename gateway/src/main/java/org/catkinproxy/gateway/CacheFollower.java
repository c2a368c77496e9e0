package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.serving.CachedPrompts;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Follows the events of one cache for as long as it is of interest.
 *
 * <p>A gap or a restart empties what is believed of the cache. One that does not answer, or takes
 * no more followers, is asked again after a while, and nothing is believed of it meanwhile. Used by
 * the event loop only.
 */
final class CacheFollower {
    private static final long RETRY_MILLIS = 1_500;

    private final Gateway mGateway;
    private final EngineControl mControl;
    private final HostAndPort mAddress;
    private final CachedPrompts mCached;
    private final BooleanSupplier mWanted;
    private String mEpoch = "";
    private long mNext;

    private CacheFollower(
            Gateway gateway,
            EngineControl control,
            HostAndPort address,
            CachedPrompts cached,
            BooleanSupplier wanted) {
        mGateway = gateway;
        mControl = control;
        mAddress = address;
        mCached = cached;
        mWanted = wanted;
    }

    /** Follows the cache at {@code address} while {@code wanted}. */
    static void start(
            Gateway gateway,
            EngineControl control,
            HostAndPort address,
            CachedPrompts cached,
            BooleanSupplier wanted) {
        new CacheFollower(gateway, control, address, cached, wanted).ask();
    }

    private void ask() {
        if (mWanted.getAsBoolean() && !mGateway.isStopping()) {
            mControl.cacheChanges(mAddress, mNext).subscribe(this::take, this::askLater);
        }
    }

    private void askLater(Throwable reason) {
        mGateway.log().record(GatewayEvent.CACHE_NOT_FOLLOWED, "cache", mAddress, "reason", reason);
        mCached.forget();
        mEpoch = "";
        mNext = 0;
        mGateway.loop().schedule(this::ask, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void take(EngineControl.CacheChanges changes) {
        if (changes.lost() || !changes.epoch().equals(mEpoch)) {
            mCached.forget();
        }
        mEpoch = changes.epoch();
        mNext = changes.next();
        changes.changes().forEach(c -> mCached.told(c.scope(), c.part(), c.tokens()));
        mGateway.loop().execute(this::ask);
    }
}
