package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.VersionRollout;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * A client of engines that reads their state and cache events, orders changes of their weights and
 * stops single runs.
 *
 * <p>Used by the event loop only.
 */
public interface EngineControl {
    /** The result of an order. */
    enum OrderResult {
        /** The engine carries out the order. */
        ACCEPTED,
        /** The engine already has the weights. */
        HOLDS,
        /** The engine is busy, or its order count differs from the expected one. */
        CONFLICT,
        /** The engine refuses the order. */
        REFUSED
    }

    /**
     * A batch of changes of a cache's contents.
     *
     * @param epoch identifies the start of the process that has the cache
     * @param nextPosition the position in the event sequence after these changes
     * @param hasGap whether earlier changes are missing
     * @param changes the changes in order
     */
    record CacheChanges(
            String epoch, long nextPosition, boolean hasGap, List<CacheChange> changes) {}

    /**
     * A change of one prompt part in a cache.
     *
     * @param scope the cache scope of the part
     * @param partId the id of the part
     * @param tokens the number of the part's tokens that are now stored
     */
    record CacheChange(String scope, long partId, int tokens) {}

    /** What is known of a run that an engine was asked to stop. */
    enum RunState {
        /** The run has ended: the engine has no such run, or its process is gone. */
        ENDED,
        /** The engine has stopped the run. */
        STOPPED,
        /** No connection to the engine could be opened in time. */
        UNREACHABLE,
        /** Nothing shows whether the run goes on. */
        UNKNOWN
    }

    /**
     * The outcome of a demand to stop a run.
     *
     * @param state what is known of the run
     * @param copy the memory of the stopped run, empty if it was not copied to the destination
     */
    record StoppedRun(RunState state, Optional<RunCopy> copy) {
        /** Returns an outcome without a copy. */
        public static StoppedRun of(RunState state) {
            return new StoppedRun(state, Optional.empty());
        }
    }

    /** Waits for changes of the cache at {@code address} after position {@code since}. */
    Single<CacheChanges> cacheChanges(HostAndPort address, long since);

    /** Returns the state of an engine. */
    Single<VersionRollout.EngineStatus> report(Upstream engine);

    /**
     * Stops a run and has its memory copied to another engine. Never fails: an error is an {@link
     * RunState#UNKNOWN} outcome.
     *
     * @param timeout the maximum time for the call, with the copying
     */
    Single<StoppedRun> stopRun(
            Upstream engine, RequestId run, HostAndPort destination, Duration timeout);

    /**
     * Asks an engine that cannot stop single runs whether its process still exists, with the
     * outcomes of {@link #stopRun} but for {@link RunState#STOPPED}.
     */
    Single<StoppedRun> findRun(Upstream engine, Duration timeout);

    /** Orders an engine to change its weights immediately, while its running requests continue. */
    Single<OrderResult> order(
            VersionRollout.Action.Order order, InstanceId holder, FencingNumber fence);
}
