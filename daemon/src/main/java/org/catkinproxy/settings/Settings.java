package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.route.DispatchSettings;

import java.time.Duration;
import java.util.Map;

/**
 * Everything a daemon learns from its settings file.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param instance the daemon's name in the platform's instance list
 * @param dataCentre where it runs
 * @param weight its size relative to other instances, 1 for an ordinary one
 * @param callers the listener for callers
 * @param operators the listener for operators
 * @param peers the listener for other daemons
 * @param platform where the platform's services are
 * @param operatorDigests the SHA-256 digest, in hexadecimal, of each operator's key, by name
 * @param secrets the keys that sign what callers bring back
 * @param dispatch the routing policy and the bound of the queue
 * @param limits the bounds on callers' requests
 * @param stopGrace how long a planned stop waits for streams after the last answer that named the
 *     instance has expired
 * @param entriesTtl how long callers may keep an answer that names entry instances
 * @param burnWindows the windows of the burn report
 */
public record Settings(
        InstanceId instance,
        DataCentreId dataCentre,
        int weight,
        Listener callers,
        Listener operators,
        Listener peers,
        PlatformSettings platform,
        Map<String, String> operatorDigests,
        Secrets secrets,
        DispatchSettings dispatch,
        Limits limits,
        Duration stopGrace,
        Duration entriesTtl,
        BurnWindows burnWindows) {
    /** Copies the digests and checks that all parts are there. */
    public Settings {
        checkNotNull(instance, "instance");
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(weight >= 1, "weight is below 1: %s", weight);
        checkNotNull(callers, "callers");
        checkNotNull(operators, "operators");
        checkNotNull(peers, "peers");
        checkNotNull(platform, "platform");
        operatorDigests = Map.copyOf(operatorDigests);
        checkNotNull(secrets, "secrets");
        checkNotNull(dispatch, "dispatch");
        checkNotNull(limits, "limits");
        checkNotNull(stopGrace, "stopGrace");
        checkNotNull(entriesTtl, "entriesTtl");
        checkNotNull(burnWindows, "burnWindows");
    }
}
