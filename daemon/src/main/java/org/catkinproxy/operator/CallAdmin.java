package org.catkinproxy.operator;

import org.catkinproxy.admin.CallView;
import org.catkinproxy.id.CallKey;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;

/**
 * Shows and settles calls that may run once.
 *
 * <p>Failures are of type {@link org.catkinproxy.error.CatkinException}. Implementations are safe
 * for use by any thread.
 */
public interface CallAdmin {
    /** Reads the calls whose outcome is unknown, the oldest first. */
    Single<List<CallView>> open();

    /** Reads a call; empty if its key was never claimed. */
    Maybe<CallView> find(CallKey key);

    /** Records an operator's word on a call whose outcome is unknown. */
    Single<CallView> resolve(CallKey key, boolean ran, String note, String operator);
}
