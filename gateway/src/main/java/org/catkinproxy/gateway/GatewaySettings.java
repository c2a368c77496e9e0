package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * What one gateway process is told at its start.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the process's own id
 * @param dataCentre where it runs
 * @param front where callers connect
 * @param probe where the platform asks whether it is ready, empty if it does not
 * @param directory where callers ask which instances to use, empty if it serves none
 * @param metrics where metrics are served
 * @param peers where the instance takes news of the others
 * @param capacity the share of a processor that the process has
 * @param retryRatio second sends allowed for each request of a service
 * @param retryExtra second sends allowed beside these, in a window, by all instances together
 * @param retryWindow the window
 * @param leaseTtl time to live of the lease for orders
 * @param oldWeightsAllowed how long old weights may answer after newer ones were named
 * @param stopGrace how long a planned stop may take
 * @param entryTtl how long callers may keep an answer of the directory
 */
public record GatewaySettings(
        InstanceId instance,
        DataCentreId dataCentre,
        InetSocketAddress front,
        Optional<InetSocketAddress> probe,
        Optional<InetSocketAddress> directory,
        InetSocketAddress metrics,
        InetSocketAddress peers,
        double capacity,
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        Duration leaseTtl,
        Duration oldWeightsAllowed,
        Duration stopGrace,
        Duration entryTtl) {
    /** Checks that all parts are there. */
    public GatewaySettings {
        checkNotNull(instance, "instance");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(front, "front");
        checkNotNull(probe, "probe");
        checkNotNull(directory, "directory");
        checkNotNull(metrics, "metrics");
        checkNotNull(peers, "peers");
    }
}
