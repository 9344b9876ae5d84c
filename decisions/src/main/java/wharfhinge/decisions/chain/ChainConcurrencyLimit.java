package wharfhinge.decisions.chain;

/**
 * Limits the chains that are open at once by how chains end (additive in their number, multiplicative in effect): a served one
 * raises the limit, a lost one cuts it by the share of its work that was spent. It settles where about a fifth of the work is
 * lost, whatever the chains' size; a chain whose first step is rejected has cost nothing and cuts nothing.
 *
 * <p>Guards against any shortage that loses chains half way. Costs: where steps are rejected at random, chains lose work that
 * single calls would not, and where chains are lost for reasons of their own, the limit falls without need.
 */
final class ChainConcurrencyLimit {
    private static final double INITIAL_LIMIT = 32;
    private static final double MIN_LIMIT = 2;
    private static final double RAISE = 0.01;
    private static final double CUT = 0.045;

    private double limit = INITIAL_LIMIT;

    boolean isExceededBy(int openChains) {
        return openChains > limit;
    }

    /** A chain was served; the limit rises only where it was at least half used. */
    void onServed(int openChains) {
        if (openChains >= limit / 2) {
            limit *= 1 + RAISE;
        }
    }

    /** A chain was lost after such a share, 0 to 1, of its work. */
    void onLost(double workSpent) {
        limit = Math.max(MIN_LIMIT, limit * (1 - CUT * workSpent));
    }
}
