package wharfhinge.decisions.chain;

/**
 * Limits the number of open chains by how chains end: each served chain raises the limit by a constant factor, and each chain that is
 * not served lowers it in proportion to the share of its work that was spent. The limit settles where about a fifth of the work is
 * lost, whatever the size of the chains. A chain whose first step is rejected has cost nothing and does not lower the limit.
 *
 * <p>Protects against any shortage that makes chains fail part of the way through. The costs: if steps are rejected at random, chains
 * lose work that single calls would not lose; if chains fail for reasons other than load, the limit falls needlessly.
 */
final class ChainConcurrencyLimit {
    private static final double INITIAL_LIMIT = 32;
    private static final double MIN_LIMIT = 2;
    private static final double INCREASE_PER_SERVED_CHAIN = 0.01;
    private static final double DECREASE_PER_LOST_CHAIN = 0.045;

    private double limit = INITIAL_LIMIT;

    boolean isExceededBy(int openChains) {
        return openChains > limit;
    }

    /** Records a served chain. The limit rises only if at least half of it was in use. */
    void onServed(int openChains) {
        if (openChains >= limit / 2) {
            limit *= 1 + INCREASE_PER_SERVED_CHAIN;
        }
    }

    /** Records a chain that was not served after the given share, 0 to 1, of its work was spent. */
    void onLost(double spentWorkShare) {
        limit = Math.max(MIN_LIMIT, limit * (1 - DECREASE_PER_LOST_CHAIN * spentWorkShare));
    }
}
