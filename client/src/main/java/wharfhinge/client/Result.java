package wharfhinge.client;

import java.time.Duration;

/**
 * The result of a call; every call ends with exactly one.
 */
public sealed interface Result {
    /** The number of attempts that this client made. */
    int attempts();

    /** A worker's answer. */
    record Served(byte[] body, String contentType, String worker, int attempts) implements Result {}

    /** Rejected and not executed: a retry is harmless for any call, best after {@code retryAfter} (0 if unknown). */
    record Refused(Duration retryAfter, String reason, int attempts) implements Result {}

    /** Failed without an answer; the call was possibly executed. */
    record Failed(String reason, int attempts) implements Result {}

    /** The deadline passed; {@code mayHaveRun} tells whether the call was possibly executed. */
    record Late(boolean mayHaveRun, int attempts) implements Result {}

    /** The call is invalid; the reason says what was found and what is allowed. */
    record Invalid(String reason, int attempts) implements Result {}

    /** The caller cancelled the call, or the client was closed. */
    record Cancelled(boolean mayHaveRun, int attempts) implements Result {}
}
