package wharfhinge.policy;

/**
 * Tokens of the timers that a dispatcher schedules. Captures store them, so the strings are fixed. The timer of an
 * attempt's patience has the attempt's index, a colon and the request's id.
 */
final class TimerTokens {
    /** Looks at queued requests and pending load orders again. */
    static final String MAINTENANCE = "sweep";

    /** Expires what has been idle; repeats for ever. */
    static final String EXPIRY = "lapse";

    /** Prefix: a request's deadline is about to pass. */
    static final String DEADLINE_PREFIX = "end:";

    /** Prefix: the wait for replies to probes or residency queries is over. */
    static final String REPLY_TIMEOUT_PREFIX = "look:";

    private static final char SEPARATOR = ':';

    private TimerTokens() {}

    static String patience(Attempt attempt) {
        return attempt.index() + ":" + attempt.state().request.id();
    }

    /** The id of the request that a token with a request names. */
    static String requestId(String token) {
        return token.substring(token.indexOf(SEPARATOR) + 1);
    }

    /** The attempt that a patience token names. */
    static int attemptIndex(String token) {
        return Integer.parseInt(token.substring(0, token.indexOf(SEPARATOR)));
    }
}
