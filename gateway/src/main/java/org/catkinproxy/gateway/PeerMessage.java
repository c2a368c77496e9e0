package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.limit.LimitReport;
import org.catkinproxy.quarantine.QuarantineReport;
import org.catkinproxy.serving.PeerLoads;
import org.catkinproxy.serving.RolloutState;
import org.catkinproxy.serving.StorePosition;

import java.util.Map;
import java.util.OptionalLong;

/**
 * A message that one instance sends to others in one datagram.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
sealed interface PeerMessage {
    /** Returns the sending instance. */
    InstanceId instance();

    /**
     * The periodic report of an instance's state.
     *
     * @param callerAddress the address at which callers connect
     * @param peerAddress the address to which datagrams are sent
     * @param ready whether the instance accepts callers
     * @param storeReachable whether the store responded to the instance's last polls
     * @param storeAnsweredNanosAgo the time since the store last answered one of the instance's
     *     polls of the upstreams, in ns, empty if it has not yet
     * @param loadByUpstream the instance's open requests, by upstream
     * @param tablePositions the position of the newest change that it has seen of each store table,
     *     or the start of a later era of the store
     */
    record Heartbeat(
            InstanceId instance,
            HostAndPort callerAddress,
            HostAndPort peerAddress,
            boolean ready,
            boolean storeReachable,
            OptionalLong storeAnsweredNanosAgo,
            Map<InstanceId, PeerLoads.Load> loadByUpstream,
            Map<String, StorePosition> tablePositions)
            implements PeerMessage {
        /** Checks that no component is null. */
        public Heartbeat {
            checkNotNull(instance, "instance");
            checkNotNull(callerAddress, "callerAddress");
            checkNotNull(peerAddress, "peerAddress");
            checkNotNull(storeAnsweredNanosAgo, "storeAnsweredNanosAgo");
            loadByUpstream = Map.copyOf(loadByUpstream);
            tablePositions = Map.copyOf(tablePositions);
        }
    }

    /**
     * Changes of a cache's contents.
     *
     * @param cacheAddress the address of the cache
     * @param reset whether earlier knowledge of the cache is invalid
     * @param tokensByPartKey the number of tokens now stored of each changed part, by part key
     */
    record CacheUpdate(
            InstanceId instance,
            HostAndPort cacheAddress,
            boolean reset,
            Map<Long, Integer> tokensByPartKey)
            implements PeerMessage {
        /** Checks that no component is null. */
        public CacheUpdate {
            checkNotNull(instance, "instance");
            checkNotNull(cacheAddress, "cacheAddress");
            tokensByPartKey = Map.copyOf(tokensByPartKey);
        }
    }

    /**
     * The progress of a rollout of weights, sent by the instance that holds the rollout's lease.
     */
    record RolloutUpdate(InstanceId instance, RolloutState state) implements PeerMessage {
        /** Checks that no component is null. */
        public RolloutUpdate {
            checkNotNull(instance, "instance");
            checkNotNull(state, "state");
        }
    }

    /** The limits of upstreams that an instance knows, whoever saw them. */
    record LimitUpdate(InstanceId instance, LimitReport report) implements PeerMessage {
        /** Checks that no component is null. */
        public LimitUpdate {
            checkNotNull(instance, "instance");
            checkNotNull(report, "report");
        }
    }

    /** What an instance knows of prompts that crash engines, whoever saw it. */
    record QuarantineUpdate(InstanceId instance, QuarantineReport report) implements PeerMessage {
        /** Checks that no component is null. */
        public QuarantineUpdate {
            checkNotNull(instance, "instance");
            checkNotNull(report, "report");
        }
    }
}
