package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.serving.Prompt;
import org.catkinproxy.serving.PromptCacheView;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Long-polls the change events of one cache while they are needed.
 *
 * <p>The view of the cache is cleared after a gap in the events or a restart of the cache. If a
 * poll fails, for instance since the cache accepts no more subscribers, the view is cleared and the
 * poll is retried after a delay. Used by the event loop only.
 */
final class CacheSubscription {
    private static final long RETRY_MILLIS = 1_500;

    private final Gateway mGateway;
    private final EngineControl mControl;
    private final HostAndPort mAddress;
    private final PromptCacheView mView;
    private final Listener mListener;
    private final BooleanSupplier mNeeded;
    private String mEpoch = "";
    private long mNextPosition;

    /** Receives the changes after they were applied to the view. */
    interface Listener {
        /**
         * Called with the number of tokens now stored of each changed part, by part key.
         *
         * @param reset whether earlier knowledge of the cache is invalid
         */
        void onCacheChanged(Map<Long, Integer> tokensByPartKey, boolean reset);
    }

    private CacheSubscription(
            Gateway gateway,
            EngineControl control,
            HostAndPort address,
            PromptCacheView view,
            Listener listener,
            BooleanSupplier needed) {
        mGateway = gateway;
        mControl = control;
        mAddress = address;
        mView = view;
        mListener = listener;
        mNeeded = needed;
    }

    /** Subscribes to the cache at {@code address} while {@code needed} returns true. */
    static void start(
            Gateway gateway,
            EngineControl control,
            HostAndPort address,
            PromptCacheView view,
            Listener listener,
            BooleanSupplier needed) {
        new CacheSubscription(gateway, control, address, view, listener, needed).poll();
    }

    private void poll() {
        if (mNeeded.getAsBoolean() && !mGateway.isStopping()) {
            mControl.cacheChanges(mAddress, mNextPosition).subscribe(this::apply, this::pollLater);
        }
    }

    private void pollLater(Throwable reason) {
        mGateway.log().record(GatewayEvent.CACHE_NOT_FOLLOWED, "cache", mAddress, "reason", reason);
        mView.clear();
        mEpoch = "";
        mNextPosition = 0;
        mGateway.loop().schedule(this::poll, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void apply(EngineControl.CacheChanges changes) {
        boolean reset = changes.hasGap() || !changes.epoch().equals(mEpoch);
        if (reset) {
            mView.clear();
        }
        mEpoch = changes.epoch();
        mNextPosition = changes.nextPosition();
        Map<Long, Integer> tokensByPartKey = new HashMap<>();
        changes.changes()
                .forEach(
                        c ->
                                tokensByPartKey.put(
                                        Prompt.scopedHash(c.scope(), c.partId()), c.tokens()));
        tokensByPartKey.forEach(mView::setStoredTokens);
        mListener.onCacheChanged(tokensByPartKey, reset);
        mGateway.loop().execute(this::poll);
    }
}
