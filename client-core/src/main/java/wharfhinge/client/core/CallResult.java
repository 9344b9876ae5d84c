package wharfhinge.client.core;

/**
 * A call's one final answer.
 *
 * @param mayHaveRun whether some worker may have run it
 * @param retryAfterNanos with REFUSED, when a repeat may be of use; 0 where nobody said
 * @param attempts      how many there were
 * @param reason     why, in a word, for logs
 */
public record CallResult(Kind kind, boolean mayHaveRun, long retryAfterNanos, int attempts, Reason reason) {
    /** What the caller may do next. */
    public enum Kind {
        /** Nothing, it has its answer. */
        SERVED,
        /** Come back: a repeat is harmless. */
        REFUSED,
        /** It may have run: a repeat is harmless only where the call is safe. */
        FAILED,
        /** The deadline passed; {@link CallResult#mayHaveRun} tells whether it may have run. */
        LATE,
        /** Mend the call: it was never taken. */
        INVALID,
        /** The caller itself gave it up. */
        CANCELLED
    }

    /** Why. */
    public enum Reason {
        /** The last try's end says it all. */
        ANSWERED,
        /** Advice to come back, or the wait before the next try, ends after the deadline. */
        NO_TIME_TO_COME_BACK,
        /** The budget of further tries is spent. */
        BUDGET_SPENT,
        /** It may have run and is not safe. */
        UNSAFE,
        /** Too many calls are open in this client. */
        TOO_MANY_OPEN,
        /** There is no gateway in the list. */
        NO_GATEWAY,
        /** A streamed answer broke off after it had begun: what came of it is not whole. */
        BROKE_OFF,
        /** Time. */
        DEADLINE,
        /** The caller, or the client was closed. */
        CALLER
    }
}
