package org.catkinproxy.gateway;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/**
 * The settings of one gateway process, fixed from its start.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the id of this instance
 * @param dataCentre the data centre of this instance
 * @param callerAddress the address at which callers connect
 * @param readinessAddress the address of the platform's readiness probe, empty for none
 * @param directoryAddress the address at which callers look up instances, empty for none
 * @param metricsAddress the address at which metrics are served
 * @param peerAddress the address for datagrams of the other instances
 * @param cpuShare the process's share of a processor
 * @param maxBufferedResponseBytes limit for all buffered responses of upstreams together
 * @param retryRatio retries allowed per request of a service
 * @param extraRetriesPerWindow retries that all instances together may make in each window, in
 *     addition to the ratio
 * @param retryWindow the window of the retry budget
 * @param leaseTtl the time to live of the lease for engine orders
 * @param outdatedWeightsGrace how long an engine may answer with outdated weights after a newer
 *     version was set
 * @param upstreamDrainTime how long a draining upstream accepts requests after its announcement
 * @param stopGrace the time after which the platform kills a stopping process
 * @param directoryTtl how long callers may cache a directory response
 */
public record GatewaySettings(
        InstanceId instance,
        DataCentreId dataCentre,
        InetSocketAddress callerAddress,
        Optional<InetSocketAddress> readinessAddress,
        Optional<InetSocketAddress> directoryAddress,
        InetSocketAddress metricsAddress,
        InetSocketAddress peerAddress,
        double cpuShare,
        long maxBufferedResponseBytes,
        double retryRatio,
        double extraRetriesPerWindow,
        Duration retryWindow,
        Duration leaseTtl,
        Duration outdatedWeightsGrace,
        Duration upstreamDrainTime,
        Duration stopGrace,
        Duration directoryTtl) {
    /** Checks that no id and no address is null. */
    public GatewaySettings {
        checkNotNull(instance, "instance");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(callerAddress, "callerAddress");
        checkNotNull(readinessAddress, "readinessAddress");
        checkNotNull(directoryAddress, "directoryAddress");
        checkNotNull(metricsAddress, "metricsAddress");
        checkNotNull(peerAddress, "peerAddress");
    }
}
