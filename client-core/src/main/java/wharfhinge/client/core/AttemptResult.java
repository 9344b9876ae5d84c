package wharfhinge.client.core;

/** The result of one attempt, as reported by a transport. */
public enum AttemptResult {
    /** A worker's answer was received. */
    SERVED,
    /** The gateway rejected the call: a retry is harmless. */
    REFUSED,
    /** The gateway reported a failure: the call was possibly executed. */
    FAILED,
    /** The gateway found the call invalid; a retry would be invalid too. */
    INVALID,
    /** The connection or stream could not be opened, or was lost before the call was sent: the call was not executed. */
    NOT_SENT,
    /** The connection or stream was lost after the call was sent: the call was possibly executed. */
    BROKEN
}
