package wharfhinge.client;

import java.time.Duration;

/**
 * The result of a call; every call ends with exactly one.
 */
public sealed interface Result {
    /** Attempts that this client made. */
    int attempts();

    /** A worker's answer. */
    record Served(byte[] body, String contentType, String worker, int attempts) implements Result {}

    /** Rejected, it did not run: a retry is harmless whatever the class, best after {@code retryAfter} (0 if unknown). */
    record Refused(Duration retryAfter, String reason, int attempts) implements Result {}

    /** No answer; it may have run. */
    record Failed(String reason, int attempts) implements Result {}

    /** The deadline passed. */
    record Late(boolean mayHaveRun, int attempts) implements Result {}

    /** The call itself is invalid: what was found, what is allowed. */
    record Invalid(String reason, int attempts) implements Result {}

    /** The caller cancelled it, or the client was closed. */
    record Cancelled(boolean mayHaveRun, int attempts) implements Result {}
}
