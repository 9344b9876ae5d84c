package wharfhinge.client;

import java.time.Duration;

/**
 * What became of a call; every call ends with exactly one. {@link #tries} counts those this client made.
 */
public sealed interface Result {
    /** Tries that this client made. */
    int tries();

    /** A worker's answer. */
    record Served(byte[] body, String contentType, String worker, int tries) implements Result {}

    /** Turned away, it did not run: a repeat is harmless whatever the class, best after a time (0: nobody said). */
    record Refused(Duration comeBack, String reason, int tries) implements Result {}

    /** No answer; it may have run. */
    record Failed(String reason, int tries) implements Result {}

    /** The deadline passed. */
    record Late(boolean mayHaveRun, int tries) implements Result {}

    /** The call itself is wrong: what was found, what is allowed. */
    record Invalid(String reason, int tries) implements Result {}

    /** The caller gave it up, or the client was closed. */
    record Cancelled(boolean mayHaveRun, int tries) implements Result {}
}
