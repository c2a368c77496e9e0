package org.catkinproxy.platform;

import io.reactivex.rxjava3.core.Single;

import java.util.List;

/**
 * The platform's list of live and leaving instances, which lags.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface InstanceList {
    /** Reads the list as the platform sees it now. */
    Single<List<ListedInstance>> list();
}
