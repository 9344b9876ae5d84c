package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.ChainScheduler.Actions;
import wharfhinge.decisions.chain.ChainScheduler.Counter;

/** Tells the policy which functions later steps will need, so that they can be loaded while earlier steps run. */
final class FunctionPrefetcher {
    private final boolean isEnabled;
    private final ChainTimeEstimator estimator;
    private final Actions actions;
    private final ChainCounters counters;

    FunctionPrefetcher(boolean isEnabled, ChainTimeEstimator estimator, Actions actions, ChainCounters counters) {
        this.isEnabled = isEnabled;
        this.estimator = estimator;
        this.actions = actions;
        this.counters = counters;
    }

    /** Prefetches the functions of the steps that come next if that makes the chain more likely to meet its deadline. */
    void onStepStarted(long nowNanos, ActiveChain chain, int step) {
        if (!isEnabled) {
            return;
        }
        for (int dependent : chain.plan().dependents(step)) {
            if (mayPrefetch(chain, dependent) && estimator.isPrefetchWorthwhile(nowNanos, chain, dependent)) {
                chain.setPrefetched(dependent, true);
                counters.increment(Counter.AHEAD_ORDERED);
                actions.prefetch(chain.id(), dependent);
            }
        }
    }

    /**
     * Prefetches the functions that a rejected chain would have loaded; the policy orders the loads within its own limits. Without
     * this, a chain that is rejected because its functions are not loaded would start no load, so the next chain would be rejected as
     * well, and so on. The cost is a needless load if no similar chain follows.
     */
    void onChainRejected(ActiveChain chain) {
        if (!isEnabled) {
            return;
        }
        for (int step = 0; step < chain.plan().size(); step++) {
            if (mayPrefetch(chain, step)) {
                counters.increment(Counter.AHEAD_FOR_NEXT);
                actions.prefetch(chain.id(), step);
            }
        }
    }

    private boolean mayPrefetch(ActiveChain chain, int step) {
        return !chain.isPrefetched(step)
                && chain.state(step) == StepState.NOT_STARTED
                && !estimator.isBelievedWarm(chain.step(step));
    }

    /** Counts whether a prefetch was in time; {@code isColdStart} tells whether the step still had to wait for the load. */
    void onStepServed(ActiveChain chain, int step, boolean isColdStart) {
        if (chain.isPrefetched(step)) {
            counters.increment(isColdStart ? Counter.AHEAD_LATE : Counter.AHEAD_USED);
            chain.setPrefetched(step, false);
        }
    }

    /** Counts the prefetched functions that no step has used. */
    void onChainClosed(ActiveChain chain) {
        for (int step = 0; step < chain.plan().size(); step++) {
            if (chain.isPrefetched(step)) {
                counters.increment(Counter.AHEAD_UNUSED);
            }
        }
    }
}
