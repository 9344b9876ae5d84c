package wharfhinge.decisions.chain;

import java.util.Optional;
import wharfhinge.decisions.chain.ChainScheduler.Counter;
import wharfhinge.decisions.chain.ChainSettings.Clock;

/**
 * Decides whether a chain is worth starting or continuing. It is not if too many chains are open for the fleet, or if the probability
 * that it meets its deadline is too low. The required probability is higher while the fleet rejects or loses steps, since an attempt
 * that fails costs nothing only if there is spare capacity.
 *
 * <p>One in {@link ChainSettings#rejectionsPerSample} rejections is let through as a sample, so that estimates that have become wrong
 * are corrected.
 */
final class ChainFeasibility {
    /** When a chain is checked. */
    enum Stage {
        AT_START,
        LATER
    }

    /** A chain less likely than this to meet its deadline is not worth its work, however idle the fleet is. */
    private static final double MIN_PROBABILITY = 0.1;
    /**
     * Probability required in addition to the minimum if the fleet rejects or loses at least {@link #FULL_PRESSURE} of the steps;
     * proportionally less below that.
     */
    private static final double EXTRA_PROBABILITY_UNDER_PRESSURE = 0.2;

    /** Share of the steps, 0 to 1, that are rejected or lost, from which the whole extra probability is required. */
    private static final double FULL_PRESSURE = 0.1;

    private static final double SMOOTHING_FACTOR = 0.01; // averages over about 100 steps
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

    /** Records whether a step was served, or rejected or lost. */
    void onStepEnded(boolean isServed) {
        unservedShare += SMOOTHING_FACTOR * ((isServed ? 0 : 1) - unservedShare);
    }

    /** The reason to reject a chain now; empty if it may proceed or is let through as a sample. */
    Optional<String> rejectionReason(long nowNanos, ActiveChain chain, int openChains, Stage stage) {
        if (!settings.earlyRejection() || settings.clock() == Clock.DEADLINE_PER_STEP || chain.isRejectionSample()) {
            return Optional.empty();
        }
        String reason;
        if (stage == Stage.AT_START && concurrencyLimit.isExceededBy(openChains)) {
            reason = TOO_MANY_FOR_FLEET;
        } else if (estimator.probabilityInTime(nowNanos, chain) < requiredProbability()) {
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

    private double requiredProbability() {
        return MIN_PROBABILITY + EXTRA_PROBABILITY_UNDER_PRESSURE * Math.min(1, unservedShare / FULL_PRESSURE);
    }

    private boolean isSample() {
        return settings.rejectionsPerSample() > 0 && ++rejections % settings.rejectionsPerSample() == 0;
    }
}
