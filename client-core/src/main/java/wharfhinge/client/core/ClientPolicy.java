package wharfhinge.client.core;

/**
 * The settings of a client; times are in nanoseconds.
 *
 * @param maxPending         maximum number of pending calls; the client itself rejects calls beyond it
 * @param retryTokensPerCall tokens that each call adds to the retry budget; each retry or hedged request takes one
 * @param retryBurst         maximum number of tokens in the retry budget
 * @param backoffNanos       upper bound of the backoff before the first retry, doubled with each further retry; the backoff is drawn
 *                           uniformly from 0 to the bound
 * @param maxBackoffNanos    limit of the doubled upper bound
 * @param silentNanos        time without an answer after which an attempt of an idempotent call is abandoned for a retry
 * @param ejectAfter         consecutive attempts at a gateway that were broken, not sent or unanswered until it is ejected
 * @param ejectNanos         time from an ejection until a trial; doubled after each failed trial, up to 16 times this value
 * @param hedgeNanos         time after the start of a call at which a hedged request is sent
 */
public record ClientPolicy(
        int maxPending,
        double retryTokensPerCall,
        double retryBurst,
        long backoffNanos,
        long maxBackoffNanos,
        long silentNanos,
        int ejectAfter,
        long ejectNanos,
        long hedgeNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Default settings, for calls that take from milliseconds to about two seconds. */
    public static final ClientPolicy DEFAULT = new ClientPolicy(
            10_000,
            0.2,
            20,
            20 * NANOS_PER_MILLI,
            1000 * NANOS_PER_MILLI,
            1000 * NANOS_PER_MILLI,
            3,
            1000 * NANOS_PER_MILLI,
            500 * NANOS_PER_MILLI);

    /** Validates the settings. */
    public ClientPolicy {
        require("maxPending", maxPending, maxPending > 0, "above 0");
        require("retryTokensPerCall", retryTokensPerCall, retryTokensPerCall >= 0 && retryTokensPerCall <= 1, "0 to 1");
        require("retryBurst", retryBurst, retryBurst >= 0, "0 or more");
        require(
                "backoffNanos",
                backoffNanos,
                backoffNanos > 0 && backoffNanos <= maxBackoffNanos,
                "above 0, at most maxBackoffNanos");
        require("silentNanos", silentNanos, silentNanos > 0, "above 0");
        require("ejectAfter", ejectAfter, ejectAfter > 0, "above 0");
        require("ejectNanos", ejectNanos, ejectNanos > 0, "above 0");
        require("hedgeNanos", hedgeNanos, hedgeNanos > 0, "above 0");
    }

    private static void require(String name, Number found, boolean valid, String allowed) {
        if (!valid) {
            throw new IllegalArgumentException(name + ": found " + found + ", allowed: " + allowed);
        }
    }
}
