package org.catkinproxy.relay;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.EngineId;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Notes the times of one request and tells the observer how it ended.
 *
 * <p>Owned by the request's task.
 */
final class RelayTimes {
    private final RelayRequest mRequest;
    private final RelayObserver mObserver;
    private final LongSupplier mClock;
    private final long mArrived;
    private Optional<EngineId> mEngine = Optional.empty();
    private Optional<Integer> mCachedTokens = Optional.empty();
    private long mFirstToken;

    RelayTimes(RelayRequest request, RelayObserver observer, LongSupplier clock) {
        mRequest = request;
        mObserver = observer;
        mClock = clock;
        mArrived = clock.getAsLong();
    }

    void begin(EngineId engine, int cachedTokens) {
        mEngine = Optional.of(engine);
        if (mCachedTokens.isEmpty()) {
            mCachedTokens = Optional.of(cachedTokens);
        }
    }

    void firstToken() {
        mFirstToken = mClock.getAsLong();
    }

    void complete(long tokens) {
        long firstToken = tokens == 0 ? mClock.getAsLong() : mFirstToken;
        // What was begun at another router has no first token here to be measured.
        if (mRequest.resume().isPresent()) {
            return;
        }
        mObserver.answered(
                new RelayObserver.Answered(
                        mRequest.route().workspace(),
                        mEngine.orElseThrow(),
                        firstToken - mArrived,
                        mRequest.route().blocks().promptTokens(),
                        mCachedTokens.orElse(0),
                        tokens));
    }

    void fail(CatkinException error) {
        mObserver.failed(mRequest.route().workspace(), mEngine, error);
    }
}
