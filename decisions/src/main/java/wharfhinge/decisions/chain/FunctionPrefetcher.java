package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.ChainScheduler.Actions;
import wharfhinge.decisions.chain.ChainScheduler.Counter;

/** Tells the policy which functions later steps will want, so that they are loaded while earlier steps run. */
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

    /** Requests the functions of the steps that come next where that makes the difference between in time and late. */
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
     * A chain that is rejected since its functions are not loaded brings no load, so the next one would be rejected as well,
     * and so on. Requests what it would have loaded; the policy orders that within its own limits. Costs a load for nothing
     * where no like chain comes.
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

    /** Counts whether a prefetch was in time; {@code isColdStart} tells that the step had to wait for the load. */
    void onStepServed(ActiveChain chain, int step, boolean isColdStart) {
        if (chain.isPrefetched(step)) {
            counters.increment(isColdStart ? Counter.AHEAD_LATE : Counter.AHEAD_USED);
            chain.setPrefetched(step, false);
        }
    }

    /** Counts the prefetches that no step has used. */
    void onChainClosed(ActiveChain chain) {
        for (int step = 0; step < chain.plan().size(); step++) {
            if (chain.isPrefetched(step)) {
                counters.increment(Counter.AHEAD_UNUSED);
            }
        }
    }
}
