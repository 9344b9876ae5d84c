package wharfhinge.client.core;

/** The result of one attempt, as both transports report it. */
public enum AttemptResult {
    /** A worker's answer came. */
    SERVED,
    /** The gateway refused: nothing of it ran that matters. */
    REFUSED,
    /** The gateway failed it: it may have run. */
    FAILED,
    /** The gateway found the call itself invalid; a retry would be as invalid. */
    INVALID,
    /** The connection or stream broke, or could not be made, before the call was on its way: it did not run. */
    NOT_SENT,
    /** The connection or stream broke after the call was on its way: it may have run. */
    BROKEN
}
