package org.catkinproxy.operator;

import org.catkinproxy.admin.StopView;
import org.catkinproxy.id.InstanceId;

import io.reactivex.rxjava3.core.Single;

/**
 * Begins planned stops.
 *
 * <p>Failures are of type {@link org.catkinproxy.error.CatkinException}. Implementations are safe
 * for use by any thread.
 */
public interface StopAdmin {
    /** Begins the planned stop of an entry instance or an engine; asking again changes nothing. */
    Single<StopView> stop(InstanceId instance, String operator);
}
