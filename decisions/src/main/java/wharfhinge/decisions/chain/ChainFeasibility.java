package wharfhinge.decisions.chain;

import java.util.Optional;
import wharfhinge.decisions.chain.ChainScheduler.Counter;
import wharfhinge.decisions.chain.ChainSettings.Clock;

/**
 * Decides whether a chain is worth starting, or continuing: not where too many are open for the fleet, nor where its chance to
 * be in time is too small. More chance is asked for where the fleet rejects or loses steps, since a lost attempt costs nothing
 * only where there is capacity to spare.
 *
 * <p>One of so many rejections is let through as a sample, so that estimates that have become wrong are corrected.
 */
final class ChainFeasibility {
    /** Where in its life a chain is checked. */
    enum Stage {
        AT_START,
        LATER
    }

    /** A chain with less chance than this is not worth its work, however idle the fleet is. */
    private static final double MIN_CHANCE = 0.1;
    /** Chance asked for beyond the minimum where the fleet rejects or loses {@link #FULL_PRESSURE} of the steps, or more. */
    private static final double EXTRA_CHANCE_UNDER_PRESSURE = 0.2;

    private static final double FULL_PRESSURE = 0.1;
    private static final double SMOOTHING = 0.01; // some hundred steps decide
    private static final String TOO_MANY_FOR_FLEET = "too-many-for-the-fleet";
    private static final String TOO_LITTLE_TIME = "too-little-time";

    private final ChainSettings settings;
    private final ChainTimeEstimator estimator;
    private final ChainConcurrencyLimit concurrencyLimit;
    private final ChainCounters counters;
    private double unservedShare;
    private long rejections;

    ChainFeasibility(
            ChainSettings settings,
            ChainTimeEstimator estimator,
            ChainConcurrencyLimit concurrencyLimit,
            ChainCounters counters) {
        this.settings = settings;
        this.estimator = estimator;
        this.concurrencyLimit = concurrencyLimit;
        this.counters = counters;
    }

    /** A step was served, or rejected or lost. */
    void onStepEnded(boolean isServed) {
        unservedShare += SMOOTHING * ((isServed ? 0 : 1) - unservedShare);
    }

    /** Why a chain is to be rejected now; empty where it may go on, or is let through as a sample. */
    Optional<String> rejectionReason(long nowNanos, ActiveChain chain, int openChains, Stage stage) {
        if (!settings.earlyRejection() || settings.clock() == Clock.DEADLINE_PER_STEP || chain.isRejectionSample()) {
            return Optional.empty();
        }
        String reason;
        if (stage == Stage.AT_START && concurrencyLimit.isExceededBy(openChains)) {
            reason = TOO_MANY_FOR_FLEET;
        } else if (estimator.chanceInTime(nowNanos, chain) < requiredChance()) {
            reason = TOO_LITTLE_TIME;
        } else {
            return Optional.empty();
        }
        if (isSample()) {
            chain.markRejectionSample();
            counters.increment(Counter.LET_THROUGH);
            return Optional.empty();
        }
        return Optional.of(reason);
    }

    private double requiredChance() {
        return MIN_CHANCE + EXTRA_CHANCE_UNDER_PRESSURE * Math.min(1, unservedShare / FULL_PRESSURE);
    }

    private boolean isSample() {
        return settings.rejectionsPerSample() > 0 && ++rejections % settings.rejectionsPerSample() == 0;
    }
}
