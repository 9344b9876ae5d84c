package wharfhinge.client.core;

/**
 * What an operator sets of a client; times in nanoseconds.
 *
 * @param maxPending       calls open at once; one beyond is refused by the client itself
 * @param retryTokensPerCall    tokens that a call adds to the budget of further tries and hedges, each of which takes one
 * @param retryBurst    most tokens held
 * @param backoffNanos     longest wait before the first further try; doubles with each, and the wait is drawn evenly from 0 to it
 * @param maxBackoffNanos where doubling ends
 * @param silentNanos      a safe call's try without an answer for so long is given up for another gateway
 * @param ejectAfter    tries in a row that broke or stayed silent at one gateway until it is left out
 * @param ejectNanos       for so long, until one call tries it; doubles each time, up to sixteen times
 * @param hedgeNanos       when a hedge is sent
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
    private static final long MS = 1_000_000L;
    /** For calls that take milliseconds to a second or two. */
    public static final ClientPolicy DEFAULT =
            new ClientPolicy(10_000, 0.2, 20, 20 * MS, 1000 * MS, 1000 * MS, 3, 1000 * MS, 500 * MS);

    /** Checks it. */
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
