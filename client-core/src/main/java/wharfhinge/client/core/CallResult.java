package wharfhinge.client.core;

/**
 * The final result of a call.
 *
 * @param mayHaveRun      whether a worker possibly executed the call
 * @param retryAfterNanos with REFUSED, after what time a retry is advised; 0 if unknown
 * @param attempts        how many attempts were made
 * @param reason          the reason, for logs
 */
public record CallResult(Kind kind, boolean mayHaveRun, long retryAfterNanos, int attempts, Reason reason) {
    /** The outcome, which determines what the caller may do next. */
    public enum Kind {
        /** A worker's answer was received. */
        SERVED,
        /** Rejected: the caller may retry any call later. */
        REFUSED,
        /** Failed and possibly executed: a retry is harmless only if the call is idempotent. */
        FAILED,
        /** The deadline passed; {@link CallResult#mayHaveRun} tells whether the call was possibly executed. */
        LATE,
        /** The call is invalid and was not executed: the caller must correct it. */
        INVALID,
        /** The caller cancelled the call, or the client was closed. */
        CANCELLED
    }

    /** The reason for the result. */
    public enum Reason {
        /** The gateway's answer to the last attempt is final. */
        ANSWERED,
        /** The Retry-After or the backoff before the next attempt would end after the deadline. */
        NO_TIME_TO_COME_BACK,
        /** The retry budget is exhausted. */
        BUDGET_SPENT,
        /** The call was possibly executed and is not idempotent. */
        UNSAFE,
        /** Too many calls are pending in this client. */
        TOO_MANY_OPEN,
        /** The list of gateways is empty. */
        NO_GATEWAY,
        /** A streamed answer ended early: the parts that were delivered are incomplete. */
        BROKE_OFF,
        /** The deadline passed. */
        DEADLINE,
        /** The caller cancelled the call, or the client was closed. */
        CALLER
    }
}
