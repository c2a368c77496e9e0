package org.catkinproxy.upstream;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.stream.StreamEvent;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;

import java.util.List;

/**
 * The port to model engines.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface EngineClient {
    /**
     * Starts a generation on a connection of its own.
     *
     * <p>Never fails: a connection that ends other than well gives {@link
     * StreamEvent.ConnectionFailed} as its last event. Cancelling the subscription closes the
     * connection.
     *
     * @param attempt the number that the events carry
     * @param delivered the tokens that the caller already has
     */
    Flowable<StreamEvent> generate(
            EngineEndpoint endpoint, GenerateRequest request, int attempt, List<String> delivered);

    /** Takes a generation up again after token {@code after}, on a connection of its own. */
    Flowable<StreamEvent> resume(
            EngineEndpoint endpoint, RequestId request, int attempt, long after);

    /** Tells the engine that a generation is not needed any more. */
    Completable cancel(EngineEndpoint endpoint, RequestId request);

    /** Reads the engine's load report. */
    Single<EngineReport> load(EngineEndpoint endpoint);

    /** Reads everything that the engine's cache holds. */
    Single<RouteEvent.CacheSnapshot> cache(EngineEndpoint endpoint);

    /** Listens to the engine's cache events until the connection ends, which is an error. */
    Flowable<RouteEvent.CacheChanged> cacheEvents(EngineEndpoint endpoint, long after);
}
