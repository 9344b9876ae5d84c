package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.ChainScheduler.FleetView;
import wharfhinge.decisions.chain.ChainSettings.Clock;

/** Estimates the remaining time of a chain from learned service times and from which functions are believed to be loaded. */
final class ChainTimeEstimator {
    private static final int MAX_FUNCTIONS = 4096;
    /** A function is prefetched only if, without it, its chain is less likely than this to meet its deadline. */
    private static final double LIKELY_IN_TIME = 0.9;

    private final ChainSettings settings;
    private final FleetView fleet;
    private final ServiceTimeEstimates serviceTimes = new ServiceTimeEstimates(MAX_FUNCTIONS);

    ChainTimeEstimator(ChainSettings settings, FleetView fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** Records the latency of a served step; {@code isColdStart} tells whether it had to wait for a load. */
    void onStepServed(long nowNanos, ActiveChain chain, int step, long latencyNanos, boolean isColdStart) {
        serviceTimes.learn(
                nowNanos, chain.step(step).function(), isColdStart, chain.wasBelievedWarm(step), latencyNanos);
    }

    boolean isBelievedWarm(Step step) {
        return fleet.isBelievedWarm(step.function());
    }

    /**
     * Time that a step may take: the time left in the chain, less the reserve for delivering the answer and the minimum that the later
     * steps need.
     */
    long stepBudgetNanos(long nowNanos, ActiveChain chain, int step) {
        if (settings.clock() == Clock.DEADLINE_PER_STEP) {
            return chain.totalTimeNanos() - settings.reserveNanos();
        }
        return chain.deadlineNanos() - nowNanos - settings.reserveNanos() - minimumNanosAfter(chain, step);
    }

    private long minimumNanosAfter(ActiveChain chain, int step) {
        ChainPlan plan = chain.plan();
        long[] minimumAfter = new long[plan.size()];
        int[] order = plan.order();
        for (int position = order.length - 1; position >= 0; position--) {
            int current = order[position];
            for (int dependent : plan.dependents(current)) {
                long minimumNanos = serviceTimes
                        .warm(chain.step(dependent), chain.defaultStepNanos())
                        .low();
                minimumAfter[current] = Math.max(minimumAfter[current], minimumAfter[dependent] + minimumNanos);
            }
        }
        // estimates that exceed the time available must not stop a step that was found worth starting
        return Math.min(minimumAfter[step], Math.max(0, chain.totalTimeNanos() / 2));
    }

    /** Probability, 0 to 1, that the chain's answer is in time. */
    double probabilityInTime(long nowNanos, ActiveChain chain) {
        return longestPath(nowNanos, chain)
                .probabilityWithin(chain.deadlineNanos() - settings.reserveNanos() - nowNanos);
    }

    /** Whether the chain may miss its deadline and requesting the load of a step's function now makes that less likely. */
    boolean isPrefetchWorthwhile(long nowNanos, ActiveChain chain, int step) {
        LatencyQuantiles rest = longestPath(nowNanos, chain);
        LatencyQuantiles uncertain = estimate(chain, step, false);
        LatencyQuantiles warm = serviceTimes.warm(chain.step(step), chain.defaultStepNanos());
        long leftNanos = chain.deadlineNanos() - nowNanos;
        long savedNanos = uncertain.median() - warm.median();
        double probability = rest.probabilityWithin(leftNanos);
        return probability < LIKELY_IN_TIME && rest.probabilityWithin(leftNanos + savedNanos) > probability;
    }

    /** The longest path, by median, through the steps that are not yet served. */
    private LatencyQuantiles longestPath(long nowNanos, ActiveChain chain) {
        ChainPlan plan = chain.plan();
        LatencyQuantiles[] pathFrom = new LatencyQuantiles[plan.size()];
        int[] order = plan.order();
        LatencyQuantiles longest = LatencyQuantiles.ZERO;
        for (int position = order.length - 1; position >= 0; position--) {
            int step = order[position];
            LatencyQuantiles rest = LatencyQuantiles.ZERO;
            for (int dependent : plan.dependents(step)) {
                rest = longer(pathFrom[dependent], rest);
            }
            pathFrom[step] = remaining(nowNanos, chain, step).plus(rest);
            longest = longer(pathFrom[step], longest);
        }
        return longest;
    }

    private static LatencyQuantiles longer(LatencyQuantiles candidate, LatencyQuantiles other) {
        return candidate.median() >= other.median() ? candidate : other;
    }

    private LatencyQuantiles remaining(long nowNanos, ActiveChain chain, int step) {
        StepState state = chain.state(step);
        if (state == StepState.SERVED) {
            return LatencyQuantiles.ZERO;
        }
        if (state == StepState.RUNNING) {
            return estimate(chain, step, chain.wasBelievedWarm(step))
                    .remainingAfter(nowNanos - chain.startedAtNanos(step));
        }
        return estimate(chain, step, isBelievedWarm(chain.step(step)));
    }

    private LatencyQuantiles estimate(ActiveChain chain, int step, boolean isBelievedWarm) {
        return isBelievedWarm
                ? serviceTimes.warm(chain.step(step), chain.defaultStepNanos())
                : serviceTimes.uncertain(chain.step(step), chain.defaultStepNanos());
    }
}
