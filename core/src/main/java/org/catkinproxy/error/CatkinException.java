package org.catkinproxy.error;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The failure of one step, with an error code, the peer involved and the outcome of the work.
 *
 * <p>Immutable except for the state that every throwable has; thread-safe.
 */
public final class CatkinException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The peer of an error that involves no other process. */
    public static final String NO_PEER = "self";

    private final ErrorCode mCode;
    private final Step mStep;
    private final String mPeer;
    private final Outcome mOutcome;

    private CatkinException(
            ErrorCode code,
            Step step,
            String peer,
            Outcome outcome,
            String message,
            Throwable cause) {
        super(message, cause);
        mCode = checkNotNull(code, "code");
        mStep = checkNotNull(step, "step");
        mPeer = checkNotNull(peer, "peer");
        mOutcome = checkNotNull(outcome, "outcome");
    }

    /** Returns an error with outcome {@link Outcome#NOT_RUN}, for work that was not done. */
    public static CatkinException notRun(ErrorCode code, Step step, String peer, String message) {
        return new CatkinException(code, step, peer, Outcome.NOT_RUN, message, null);
    }

    /** Returns an error with the given outcome; {@code cause} may be null. */
    public static CatkinException of(
            ErrorCode code,
            Step step,
            String peer,
            Outcome outcome,
            String message,
            Throwable cause) {
        return new CatkinException(code, step, peer, outcome, message, cause);
    }

    /** Returns the stable error code. */
    public ErrorCode code() {
        return mCode;
    }

    /** Returns the step in which the error occurred. */
    public Step step() {
        return mStep;
    }

    /** Returns the name of the peer involved, or {@link #NO_PEER} if there is none. */
    public String peer() {
        return mPeer;
    }

    /** Returns whether the work was done, as far as is known. */
    public Outcome outcome() {
        return mOutcome;
    }

    @Override
    public String toString() {
        return mCode.wireName()
                + " at "
                + mStep.wireName()
                + " with "
                + mPeer
                + ": "
                + getMessage();
    }
}
