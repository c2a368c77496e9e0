package org.catkinproxy.calls;

import org.catkinproxy.error.CatkinException;

import java.util.Optional;

/** The result of a call, as reported to the caller. All implementations are immutable. */
public sealed interface CallResult {
    /** The header that carries a receipt, in error responses and in retries. */
    String RECEIPT_HEADER = "Catkin-Receipt";

    /**
     * The service responded, possibly with an error status.
     *
     * @param response the service's response
     */
    record Responded(ServiceResponse response) implements CallResult {}

    /**
     * The call failed without a response.
     *
     * @param error the error code, and what is known about whether the call ran
     * @param receipt the value for {@link #RECEIPT_HEADER}; with it, a retry through any entry
     *     instance can immediately take over a claim that this attempt may have left behind
     */
    record Failed(CatkinException error, Optional<String> receipt) implements CallResult {
        /** Returns a failure without a receipt. */
        public static Failed of(CatkinException error) {
            return new Failed(error, Optional.empty());
        }
    }
}
