package wharfhinge.policy;

/**
 * Tokens of the timers that a dispatcher schedules. Captures store them, so the strings are fixed. The token of an
 * attempt's overdue timer consists of the attempt's index, a colon and the request's id.
 */
final class TimerTokens {
    /** Maintenance tick: examines queued requests and pending load orders again. */
    static final String MAINTENANCE = "sweep";

    /** Removes state that has been idle for too long; reschedules itself. */
    static final String EXPIRY = "lapse";

    /** Prefix of the timer for a request's deadline, due shortly before it passes. */
    static final String DEADLINE_PREFIX = "end:";

    /** Prefix of the timer that ends a request's wait for replies to probes, residency queries or lease renewals. */
    static final String REPLY_TIMEOUT_PREFIX = "look:";

    private static final char SEPARATOR = ':';

    private TimerTokens() {}

    static String overdue(Attempt attempt) {
        return attempt.index() + ":" + attempt.state().request.id();
    }

    /** The id of the request that a token contains. */
    static String requestId(String token) {
        return token.substring(token.indexOf(SEPARATOR) + 1);
    }

    /** The index of the attempt that an overdue token contains. */
    static int attemptIndex(String token) {
        return Integer.parseInt(token.substring(0, token.indexOf(SEPARATOR)));
    }
}
