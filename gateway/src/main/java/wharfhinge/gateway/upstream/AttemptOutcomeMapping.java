package wharfhinge.gateway.upstream;

import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;

/**
 * The ways in which an exchange with a worker can end on the wire, and the outcome that each is mapped to. This is the only
 * mapping; docs/protocol-worker.md documents it. An outcome that proves that the call was not executed may be used only where
 * the wire proves it: nothing of the call was sent, or the worker stated that it has not processed the stream and will not
 * (RFC 9113, 6.8 and 8.7).
 */
enum AttemptOutcomeMapping {
    /** The worker responded; the outcome is taken from the response's headers. */
    RESPONSE_RECEIVED("answered", null, false),
    /**
     * Nothing was sent: the connect attempt timed out or was refused, all connections were saturated, or the worker began to
     * drain.
     */
    CONNECT_FAILED("not-connected", Outcome.CONNECT_FAILED, true),
    /** The connection was lost before the request's headers were written. */
    WRITE_FAILED("not-written", Outcome.CONNECT_FAILED, true),
    /** The client cancelled before anything was sent; no answer depends on the outcome. */
    CANCELLED_UNSENT("withdrawn", Outcome.CANCELLED, false),
    /** The deadline passed before anything was sent. */
    DEADLINE_EXCEEDED_UNSENT("too-late", Outcome.SUPERSEDED, true),
    /** The worker reset the stream with REFUSED_STREAM: it has not processed the request. */
    STREAM_REFUSED("stream-refused", Outcome.SATURATED, true),
    /** The worker sent GOAWAY with a last stream ID below this stream's: it will not process the request. */
    GOAWAY_RECEIVED("gone-away", Outcome.SATURATED, true),
    /** The stream was reset with another error code after the headers were sent. */
    STREAM_RESET("stream-reset", Outcome.RESET, false),
    /** The connection was lost after the headers were sent. */
    CONNECTION_LOST("connection-lost", Outcome.RESET, false),
    /** The response exceeded the size limit; the gateway reset the stream. */
    RESPONSE_TOO_LARGE("too-large", Outcome.ERROR, false),
    /** No response to a probe or a load within its timeout. */
    TIMED_OUT("timed-out", Outcome.TIMEOUT, false);

    private final String reason;
    private final Outcome outcome;
    private final boolean provesNotExecuted;

    AttemptOutcomeMapping(String reason, Outcome outcome, boolean provesNotExecuted) {
        this.reason = reason;
        this.outcome = outcome;
        this.provesNotExecuted = provesNotExecuted;
    }

    boolean provesNotExecuted() {
        return provesNotExecuted;
    }

    /** The outcome of an exchange that ended this way; {@code status} and {@code code} are used only for a response. */
    Outcome outcome(int status, AnswerCode code) {
        if (this != RESPONSE_RECEIVED) {
            return outcome;
        }
        if (code == null) { // without the protocol's headers only the HTTP status is known
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

    /** The name used in the access log and in the reason header of the client protocol. */
    String reason() {
        return reason;
    }
}
