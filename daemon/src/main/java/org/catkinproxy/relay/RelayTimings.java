package org.catkinproxy.relay;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Measures the times of one request, and notifies the observer when the request ends.
 *
 * <p>Not thread-safe; confined to the request's task.
 */
final class RelayTimings {
    private final RelayRequest mRequest;
    private final RelayObserver mObserver;
    private final LongSupplier mNanoClock;
    private final long mArrivedAt;
    private Optional<EngineId> mEngine = Optional.empty();
    private Optional<Integer> mCachedTokens = Optional.empty();
    private long mFirstTokenAt;

    RelayTimings(RelayRequest request, RelayObserver observer, LongSupplier nanoClock) {
        mRequest = request;
        mObserver = observer;
        mNanoClock = nanoClock;
        mArrivedAt = nanoClock.getAsLong();
    }

    void onBegin(EngineId engine, int cachedTokens) {
        mEngine = Optional.of(engine);
        if (mCachedTokens.isEmpty()) {
            mCachedTokens = Optional.of(cachedTokens);
        }
    }

    void onFirstToken() {
        mFirstTokenAt = mNanoClock.getAsLong();
    }

    void onComplete(long generatedTokens) {
        long firstTokenAt = generatedTokens == 0 ? mNanoClock.getAsLong() : mFirstTokenAt;
        // A resumed stream started on another entry instance, so its first token was not measured.
        if (mRequest.resumeToken().isPresent()) {
            return;
        }
        mObserver.onCompleted(
                new RelayObserver.CompletedRequest(
                        mRequest.routeRequest().workspace(),
                        mEngine.orElseThrow(),
                        firstTokenAt - mArrivedAt,
                        mRequest.routeRequest().blocks().promptTokens(),
                        mCachedTokens.orElse(0),
                        generatedTokens));
    }

    void onFail(CatkinException error) {
        mObserver.onFailed(mRequest.routeRequest().workspace(), mEngine, error);
    }
}
