package org.catkinproxy.call;

/** The phase of one attempt at a call. Immutable. */
enum AttemptPhase {
    /** The attempt has not started. */
    NEW,
    /** Nothing was sent; the row may or may not hold this attempt's claim. */
    CLAIMING,
    /** The row holds the claim of another attempt, which may have sent the request. */
    WAITING,
    /** The row holds this attempt's claim, and the attempt sends the request. */
    SENDING,
    /** The request was sent, but no response was received. */
    QUERYING_STATUS,
    /** The response is known and is being written into the row. */
    RECORDING,
    /** This attempt sent nothing and will not; its claim is being released. */
    RELEASING,
    /** The attempt has ended. */
    ENDED
}
