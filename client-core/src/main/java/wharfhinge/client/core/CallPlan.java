package wharfhinge.client.core;

/**
 * What a client's decisions need to know of a call.
 *
 * @param deadlineNanos how long the caller waits, for all tries together
 * @param idempotent       a repeat is harmless even where the call may have run
 * @param hedge      a second copy may be sent while the first is still out; only of safe calls
 */
public record CallPlan(long deadlineNanos, boolean idempotent, boolean hedge) {
    /** Checks it. */
    public CallPlan {
        if (deadlineNanos <= 0) {
            throw new IllegalArgumentException("deadline: found " + deadlineNanos + " ns, allowed: above 0");
        }
        if (hedge && !idempotent) {
            throw new IllegalArgumentException(
                    "hedge: found on a call that is not safe to repeat, allowed: on safe ones");
        }
    }
}
