package wharfhinge.policy;

/** How an attempt, a probe or a load order ended. */
public enum Outcome {
    SERVED,
    ERROR,
    SATURATED,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    SUPERSEDED,
    NOT_LOADED,
    /** The worker's lease ended before the first byte was written: the attempt never ran. */
    LEASE_EXPIRED
}
