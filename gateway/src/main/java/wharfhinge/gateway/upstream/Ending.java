package wharfhinge.gateway.upstream;

import java.util.Locale;
import wharfhinge.policy.CacheStatus;
import wharfhinge.policy.Outcome;
import wharfhinge.protocol.AnswerCode;
import wharfhinge.protocol.CopyNote;

/**
 * What is seen on the wire of an exchange, and the outcome it becomes. This is the one table; docs/protocol-worker.md
 * shows it. An outcome that proves that the call never ran may be used only where the wire proves it: nothing of the
 * call was sent, or the worker said that it did not and will not look at it (RFC 9113, 6.8 and 8.7).
 */
enum Ending {
    /** The worker answered; the answer's own words decide. */
    ANSWERED(null, false),
    /** No connection in time, refused, all taken, or the worker was told to leave before anything was sent. */
    NOT_CONNECTED(Outcome.CONNECT_FAILED, true),
    /** The headers could not be written: the connection was gone before they were on it. */
    NOT_WRITTEN(Outcome.CONNECT_FAILED, true),
    /** Its client left before anything was sent; nobody is told a word that rests on it. */
    WITHDRAWN(Outcome.CANCELLED, false),
    /** The time to wait for it was over before anything was sent. */
    TOO_LATE(Outcome.SUPERSEDED, true),
    /** A stream reset with REFUSED_STREAM: the worker has not looked at it. */
    STREAM_REFUSED(Outcome.SATURATED, true),
    /** GOAWAY with a last stream below this one's: the worker will not look at it. */
    GONE_AWAY(Outcome.SATURATED, true),
    /** A stream reset with another code, after the headers were sent. */
    STREAM_RESET(Outcome.RESET, false),
    /** The connection was lost after the headers were sent. */
    CONNECTION_LOST(Outcome.RESET, false),
    /** The answer is over the size limit; it was cut off. */
    TOO_LARGE(Outcome.ERROR, false),
    /** No answer in the time that a probe or an order has. */
    TIMED_OUT(Outcome.TIMEOUT, false);

    private final Outcome outcome;
    private final boolean provesUnrun;

    Ending(Outcome outcome, boolean provesUnrun) {
        this.outcome = outcome;
        this.provesUnrun = provesUnrun;
    }

    boolean provesUnrun() {
        return provesUnrun;
    }

    /** The outcome of an exchange that ended so; {@code status} and {@code code} count only for an answer. */
    Outcome outcome(int status, AnswerCode code) {
        if (this != ANSWERED) {
            return outcome;
        }
        if (code == null) { // a peer that does not speak the page's words proves nothing
            return status >= 200 && status < 300 ? Outcome.SERVED : Outcome.ERROR;
        }
        return switch (code) {
            case SERVED -> Outcome.SERVED;
            case ERROR -> Outcome.ERROR;
            case FULL -> Outcome.SATURATED;
            case MISS -> Outcome.NOT_LOADED;
        };
    }

    static CacheStatus note(CopyNote note) {
        return switch (note) {
            case NONE -> CacheStatus.UNKNOWN;
            case FOUND -> CacheStatus.HIT;
            case BEGAN -> CacheStatus.LOAD_STARTED;
            case WAITED -> CacheStatus.LOAD_AWAITED;
            case LOAD_FAILED -> CacheStatus.LOAD_FAILED;
        };
    }

    String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
