package wharfhinge.decisions.chain;

import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.ChainScheduler.FleetView;
import wharfhinge.decisions.chain.ChainSettings.Clock;

/** Estimates what the rest of a chain takes, from learned service times and from which functions are believed to be loaded. */
final class ChainTimeEstimator {
    private static final int MAX_FUNCTIONS = 4096;
    /** A load is worth requesting early only where the chain is less likely than this to be in time anyway. */
    private static final double LIKELY_IN_TIME = 0.9;

    private final ChainSettings settings;
    private final FleetView fleet;
    private final ServiceTimeEstimates serviceTimes = new ServiceTimeEstimates(MAX_FUNCTIONS);

    ChainTimeEstimator(ChainSettings settings, FleetView fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** A step was served; {@code isColdStart} tells whether it had to wait for a load. */
    void onStepServed(long nowNanos, ActiveChain chain, int step, long tookNanos, boolean isColdStart) {
        serviceTimes.learn(nowNanos, chain.step(step).function(), isColdStart, chain.wasBelievedWarm(step), tookNanos);
    }

    boolean isBelievedWarm(Step step) {
        return fleet.isBelievedWarm(step.function());
    }

    /** Time that a step may take: what is left, less the least that the steps after it need. */
    long stepBudgetNanos(long nowNanos, ActiveChain chain, int step) {
        if (settings.clock() == Clock.DEADLINE_PER_STEP) {
            return chain.totalTimeNanos() - settings.reserveNanos();
        }
        return chain.deadlineNanos() - nowNanos - settings.reserveNanos() - leastNanosAfter(chain, step);
    }

    private long leastNanosAfter(ActiveChain chain, int step) {
        ChainPlan plan = chain.plan();
        long[] leastAfter = new long[plan.size()];
        int[] order = plan.order();
        for (int position = order.length - 1; position >= 0; position--) {
            int current = order[position];
            for (int dependent : plan.dependents(current)) {
                long leastNanos = serviceTimes
                        .warm(chain.step(dependent), chain.defaultStepNanos())
                        .low();
                leastAfter[current] = Math.max(leastAfter[current], leastAfter[dependent] + leastNanos);
            }
        }
        // estimates that ask for more than there is must not stop a step that was found worth starting
        return Math.min(leastAfter[step], Math.max(0, chain.totalTimeNanos() / 2));
    }

    /** The chance, 0 to 1, that the chain's answer is in time. */
    double chanceInTime(long nowNanos, ActiveChain chain) {
        return longestPath(nowNanos, chain).within(chain.deadlineNanos() - settings.reserveNanos() - nowNanos);
    }

    /** Whether the load of a step's function, requested now, makes it more likely that the chain is in time. */
    boolean isPrefetchWorthwhile(long nowNanos, ActiveChain chain, int step) {
        LatencyQuantiles rest = longestPath(nowNanos, chain);
        LatencyQuantiles uncertain = estimate(chain, step, false);
        LatencyQuantiles warm = serviceTimes.warm(chain.step(step), chain.defaultStepNanos());
        long leftNanos = chain.deadlineNanos() - nowNanos;
        long savedNanos = uncertain.median() - warm.median();
        double chance = rest.within(leftNanos);
        return chance < LIKELY_IN_TIME && rest.within(leftNanos + savedNanos) > chance;
    }

    /** The longest path, by medians, through what is not yet served. */
    private LatencyQuantiles longestPath(long nowNanos, ActiveChain chain) {
        ChainPlan plan = chain.plan();
        LatencyQuantiles[] pathFrom = new LatencyQuantiles[plan.size()];
        int[] order = plan.order();
        LatencyQuantiles longest = LatencyQuantiles.NONE;
        for (int position = order.length - 1; position >= 0; position--) {
            int step = order[position];
            LatencyQuantiles rest = LatencyQuantiles.NONE;
            for (int dependent : plan.dependents(step)) {
                rest = longer(pathFrom[dependent], rest);
            }
            pathFrom[step] = remaining(nowNanos, chain, step).then(rest);
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
            return LatencyQuantiles.NONE;
        }
        if (state == StepState.RUNNING) {
            return estimate(chain, step, chain.wasBelievedWarm(step)).after(nowNanos - chain.startedAtNanos(step));
        }
        return estimate(chain, step, isBelievedWarm(chain.step(step)));
    }

    private LatencyQuantiles estimate(ActiveChain chain, int step, boolean isBelievedWarm) {
        return isBelievedWarm
                ? serviceTimes.warm(chain.step(step), chain.defaultStepNanos())
                : serviceTimes.uncertain(chain.step(step), chain.defaultStepNanos());
    }
}
