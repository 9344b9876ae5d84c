package wharfhinge.client.core;

/**
 * What an operator sets of a client; times in nanoseconds.
 *
 * @param maxOpen       calls open at once; one beyond is refused by the client itself
 * @param retryShare    tokens that a call adds to the budget of further tries and hedges, each of which takes one
 * @param retryBurst    most tokens held
 * @param backoffNanos     longest wait before the first further try; doubles with each, and the wait is drawn evenly from 0 to it
 * @param backoffMostNanos where doubling ends
 * @param silentNanos      a safe call's try without an answer for so long is given up for another gateway
 * @param ejectAfter    tries in a row that broke or stayed silent at one gateway until it is left out
 * @param ejectNanos       for so long, until one call tries it; doubles each time, up to sixteen times
 * @param hedgeNanos       when a hedge is sent
 */
public record ClientPolicy(
        int maxOpen,
        double retryShare,
        double retryBurst,
        long backoffNanos,
        long backoffMostNanos,
        long silentNanos,
        int ejectAfter,
        long ejectNanos,
        long hedgeNanos) {
    private static final long MS = 1_000_000L;
    /** For calls that take milliseconds to a second or two. */
    public static final ClientPolicy USUAL =
            new ClientPolicy(10_000, 0.2, 20, 20 * MS, 1000 * MS, 1000 * MS, 3, 1000 * MS, 500 * MS);

    /** Checks it. */
    public ClientPolicy {
        need("maxOpen", maxOpen, maxOpen > 0, "above 0");
        need("retryShare", retryShare, retryShare >= 0 && retryShare <= 1, "0 to 1");
        need("retryBurst", retryBurst, retryBurst >= 0, "0 or more");
        need(
                "backoffNs",
                backoffNanos,
                backoffNanos > 0 && backoffNanos <= backoffMostNanos,
                "above 0, at most backoffMostNs");
        need("silentNs", silentNanos, silentNanos > 0, "above 0");
        need("ejectAfter", ejectAfter, ejectAfter > 0, "above 0");
        need("ejectNs", ejectNanos, ejectNanos > 0, "above 0");
        need("hedgeNs", hedgeNanos, hedgeNanos > 0, "above 0");
    }

    private static void need(String name, Number found, boolean holds, String allowed) {
        if (!holds) {
            throw new IllegalArgumentException(name + ": found " + found + ", allowed: " + allowed);
        }
    }
}
