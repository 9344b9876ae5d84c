package wharfhinge.client.core;

/**
 * The properties of a call that a client's decisions depend on.
 *
 * @param deadlineNanos time limit for all attempts together, from the start of the call
 * @param idempotent    whether a retry is harmless even if the call was possibly executed
 * @param hedge         whether a hedged request may be sent while the first attempt is in flight; only for idempotent calls
 */
public record CallPlan(long deadlineNanos, boolean idempotent, boolean hedge) {
    /** Validates the plan. */
    public CallPlan {
        if (deadlineNanos <= 0) {
            throw new IllegalArgumentException("deadline: found " + deadlineNanos + " ns, allowed: above 0");
        }
        if (hedge && !idempotent) {
            throw new IllegalArgumentException(
                    "hedge: found on a call that is not idempotent, allowed: on idempotent calls");
        }
    }
}
