package org.catkinproxy.orders;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.InstanceId;

import java.time.Duration;

/**
 * The settings of the orders task.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param self this instance
 * @param leaseTtl how long an unrenewed lease stands
 * @param orderTimeout how long an order may be under way
 * @param period how often leases and engines are looked at
 * @param loadsPerSecond how many loads may begin in a second, by the rate of the weight store
 */
public record OrderSettings(
        InstanceId self,
        Duration leaseTtl,
        Duration orderTimeout,
        Duration period,
        double loadsPerSecond) {
    private static final Duration DEFAULT_LEASE_TTL = Duration.ofSeconds(6);
    private static final Duration DEFAULT_ORDER_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_PERIOD = Duration.ofMillis(500);
    private static final double DEFAULT_LOADS_PER_SECOND = 3;

    /** Checks the ranges. */
    public OrderSettings {
        checkNotNull(self, "self");
        checkArgument(leaseTtl.compareTo(period) > 0, "leaseTtl is not above %s", period);
        checkArgument(!period.isZero() && !period.isNegative(), "period: %s", period);
        checkArgument(!orderTimeout.isNegative(), "orderTimeout: %s", orderTimeout);
        checkArgument(loadsPerSecond > 0, "loadsPerSecond: %s", loadsPerSecond);
    }

    /** Returns the settings of an instance for which nothing else is set. */
    public static OrderSettings defaults(InstanceId self) {
        return new OrderSettings(
                self,
                DEFAULT_LEASE_TTL,
                DEFAULT_ORDER_TIMEOUT,
                DEFAULT_PERIOD,
                DEFAULT_LOADS_PER_SECOND);
    }
}
