package wharfhinge.gateway.upstream;

import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;

/**
 * How an exchange with a worker can end on the wire, and the outcome that each end is mapped to. This is the one table;
 * docs/protocol-worker.md shows it. An outcome that proves that the call was never executed may be used only where the wire
 * proves it: nothing of the call was sent, or the worker said that it did not and will not process it (RFC 9113, 6.8 and 8.7).
 */
enum AttemptOutcomeMapping {
    /** The worker responded; the response's own headers decide. */
    RESPONSE_RECEIVED("answered", null, false),
    /** No connection in time, refused, all saturated, or the worker began to drain before anything was sent. */
    CONNECT_FAILED("not-connected", Outcome.CONNECT_FAILED, true),
    /** The headers could not be written: the connection was gone before they were on it. */
    WRITE_FAILED("not-written", Outcome.CONNECT_FAILED, true),
    /** Its client left before anything was sent; nobody receives an answer that rests on it. */
    CANCELLED_UNSENT("withdrawn", Outcome.CANCELLED, false),
    /** Its deadline passed before anything was sent. */
    DEADLINE_EXCEEDED_UNSENT("too-late", Outcome.SUPERSEDED, true),
    /** A stream reset with REFUSED_STREAM: the worker has not processed it. */
    STREAM_REFUSED("stream-refused", Outcome.SATURATED, true),
    /** GOAWAY with a last stream below this one's: the worker will not process it. */
    GOAWAY_RECEIVED("gone-away", Outcome.SATURATED, true),
    /** A stream reset with another code, after the headers were sent. */
    STREAM_RESET("stream-reset", Outcome.RESET, false),
    /** The connection was lost after the headers were sent. */
    CONNECTION_LOST("connection-lost", Outcome.RESET, false),
    /** The response is over the size limit; it was cut off. */
    RESPONSE_TOO_LARGE("too-large", Outcome.ERROR, false),
    /** No response to a probe or a load within its timeout. */
    TIMED_OUT("timed-out", Outcome.TIMEOUT, false);

    private final String word;
    private final Outcome outcome;
    private final boolean provesNotExecuted;

    AttemptOutcomeMapping(String word, Outcome outcome, boolean provesNotExecuted) {
        this.word = word;
        this.outcome = outcome;
        this.provesNotExecuted = provesNotExecuted;
    }

    boolean provesNotExecuted() {
        return provesNotExecuted;
    }

    /** The outcome of an exchange that ended so; {@code status} and {@code code} count only for a response. */
    Outcome outcome(int status, AnswerCode code) {
        if (this != RESPONSE_RECEIVED) {
            return outcome;
        }
        if (code == null) { // a peer without the protocol's headers proves nothing
            return status >= 200 && status < 300 ? Outcome.SERVED : Outcome.ERROR;
        }
        return switch (code) {
            case SERVED -> Outcome.SERVED;
            case ERROR -> Outcome.ERROR;
            case FULL -> Outcome.SATURATED;
            case MISS -> Outcome.NOT_LOADED;
        };
    }

    static CacheStatus cacheStatus(CopyNote note) {
        return switch (note) {
            case NONE -> CacheStatus.UNKNOWN;
            case FOUND -> CacheStatus.HIT;
            case BEGAN -> CacheStatus.LOAD_STARTED;
            case WAITED -> CacheStatus.LOAD_AWAITED;
            case LOAD_FAILED -> CacheStatus.LOAD_FAILED;
        };
    }

    /** As it stands in the access log and in the client protocol's reason. */
    String word() {
        return word;
    }
}
