package org.catkinproxy.stop;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.List;

/**
 * State machine of the planned stop (graceful shutdown) of an entry instance.
 *
 * <p>Invariants: the state only advances in the order of {@link StopState}. From {@code ANNOUNCED}
 * on, the instance is not advertised to callers. It rejects new requests only after the last entry
 * list that may contain it has expired. It leaves only when no request is open, unless an operator
 * forces the stop.
 *
 * <p>Deterministic; not thread-safe. Times are milliseconds of a monotonic clock.
 */
public final class StopStateMachine {
    private final StopSettings mSettings;
    private StopState mState = StopState.SERVING;
    private long mAdvertisedUntilMillis;
    private long mHandOverDeadlineMillis;
    private boolean mPeersInformed;

    /** Creates the state machine of an instance in state {@code SERVING}. */
    public StopStateMachine(StopSettings settings) {
        mSettings = checkNotNull(settings, "settings");
    }

    /** Returns the current state. */
    public StopState state() {
        return mState;
    }

    /**
     * Handles one event at time {@code now} in milliseconds, and returns the actions to perform.
     */
    public List<StopAction> handle(StopEvent event, long now) {
        List<StopAction> actions = new ArrayList<>();
        if (event instanceof StopEvent.StopRequested) {
            announce(now, actions);
        } else if (event instanceof StopEvent.ForcedStopRequested) {
            leave(actions);
        } else if (event instanceof StopEvent.PeersInformed) {
            onPeersInformed(now);
        } else if (event instanceof StopEvent.HandOverFinished
                && mState == StopState.HANDING_OVER) {
            leave(actions);
        } else if (event instanceof StopEvent.Tick tick) {
            onTick(tick.openRequests(), now, actions);
        }
        return actions;
    }

    private void announce(long now, List<StopAction> actions) {
        if (mState != StopState.SERVING) {
            return;
        }
        mState = StopState.ANNOUNCED;
        mAdvertisedUntilMillis =
                now + mSettings.maxPropagationMillis() + mSettings.entryListTtlMillis();
        actions.add(StopAction.ANNOUNCE);
    }

    /**
     * Peers may have advertised this instance until now; callers cache entry lists for their TTL.
     */
    private void onPeersInformed(long now) {
        if (mState == StopState.ANNOUNCED && !mPeersInformed) {
            mPeersInformed = true;
            mAdvertisedUntilMillis =
                    Math.min(mAdvertisedUntilMillis, now + mSettings.entryListTtlMillis());
        }
    }

    private void onTick(int openRequests, long now, List<StopAction> actions) {
        // The requests were counted before this event. A count of zero is final only if new
        // requests were already rejected at that time, so each tick advances at most one state.
        if (mState == StopState.ANNOUNCED && now >= mAdvertisedUntilMillis) {
            mState = StopState.DRAINING;
            actions.add(StopAction.REFUSE_REQUESTS);
        } else if (mState == StopState.DRAINING && openRequests == 0) {
            mState = StopState.HANDING_OVER;
            mHandOverDeadlineMillis = now + mSettings.handOverTimeoutMillis();
            actions.add(StopAction.HAND_OVER);
        } else if (mState == StopState.HANDING_OVER && now >= mHandOverDeadlineMillis) {
            leave(actions);
        }
    }

    private void leave(List<StopAction> actions) {
        if (mState != StopState.LEFT) {
            mState = StopState.LEFT;
            actions.add(StopAction.LEAVE);
        }
    }
}
