package wharfhinge.decisions.chain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import wharfhinge.decisions.chain.ChainPlan.Step;

/**
 * Learned service times by function, separately for warm calls and cold starts. If a function has too few samples, the times that
 * the client stated for the step are used, otherwise the times of all functions, otherwise a fraction of the chain's time. Bounded:
 * the least recently used functions are dropped first.
 */
final class ServiceTimeEstimates {
    private static final double SMOOTHING_FACTOR = 0.05; // averages over about 20 calls
    /**
     * If more than this share of the calls are cold starts, fewer than a tenth are warm, so that the 10th percentile is taken from the
     * cold starts. The shares for the median and the 90th percentile follow in the same way.
     */
    private static final double COLD_START_AT_LOW = 0.9;

    private static final double COLD_START_AT_MEDIAN = 0.5;
    private static final double COLD_START_AT_HIGH = 0.1;

    private final Map<String, LatencyHistogram> warmByFunction;
    private final Map<String, LatencyHistogram> coldByFunction;
    private final LatencyHistogram anyWarm = new LatencyHistogram();
    private final LatencyHistogram anyCold = new LatencyHistogram();
    private double coldShareWhereNotBelievedWarm = 1;

    /** Creates estimates for at most {@code maxFunctions} functions. */
    ServiceTimeEstimates(int maxFunctions) {
        warmByFunction = leastRecentlyUsedMap(maxFunctions);
        coldByFunction = leastRecentlyUsedMap(maxFunctions);
    }

    private static Map<String, LatencyHistogram> leastRecentlyUsedMap(int maxSize) {
        return new LinkedHashMap<>(64, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, LatencyHistogram> eldest) {
                return size() > maxSize;
            }
        };
    }

    /** Records an answered call; {@code wasBelievedWarm} tells whether its function was believed to be loaded when it started. */
    void learn(long nowNanos, String function, boolean isColdStart, boolean wasBelievedWarm, long latencyNanos) {
        Map<String, LatencyHistogram> byFunction = isColdStart ? coldByFunction : warmByFunction;
        byFunction.computeIfAbsent(function, key -> new LatencyHistogram()).add(nowNanos, latencyNanos);
        (isColdStart ? anyCold : anyWarm).add(nowNanos, latencyNanos);
        if (!wasBelievedWarm) {
            coldShareWhereNotBelievedWarm += SMOOTHING_FACTOR * ((isColdStart ? 1 : 0) - coldShareWhereNotBelievedWarm);
        }
    }

    /**
     * Estimate for a call of a loaded function: as learned, otherwise from the step's cost, otherwise as for any function.
     *
     * @param defaultNanos high estimate if no call of any function has been learned
     */
    LatencyQuantiles warm(Step step, long defaultNanos) {
        Optional<LatencyQuantiles> learned = learned(warmByFunction, step);
        if (learned.isPresent()) {
            return learned.get();
        }
        long costNanos = step.costNanos();
        if (costNanos > 0) {
            return new LatencyQuantiles(costNanos / 2, costNanos, 3 * costNanos);
        }
        return anyWarm.quantiles()
                .orElseGet(() -> new LatencyQuantiles(defaultNanos / 8, defaultNanos / 4, defaultNanos));
    }

    /**
     * Estimate for a call that waits for a load: as learned, otherwise a warm call plus the load time of the step, otherwise as for
     * any function.
     */
    LatencyQuantiles cold(Step step, long defaultNanos) {
        Optional<LatencyQuantiles> learned = learned(coldByFunction, step);
        if (learned.isPresent()) {
            return learned.get();
        }
        long loadNanos = step.loadNanos();
        if (loadNanos > 0) {
            return warm(step, defaultNanos).plus(new LatencyQuantiles(loadNanos * 3 / 4, loadNanos, 2 * loadNanos));
        }
        return anyCold.quantiles().orElseGet(() -> warm(step, defaultNanos)
                .plus(new LatencyQuantiles(
                        0, defaultNanos / 8, defaultNanos))); // nothing is known: low enough that a chain is attempted
    }

    /**
     * Estimate for a call of a function that is not believed to be loaded. Such a call is not always a cold start: other gateways may
     * keep the function loaded. The recent share of cold starts among such calls decides for each quantile which estimate is used.
     */
    LatencyQuantiles uncertain(Step step, long defaultNanos) {
        LatencyQuantiles warm = warm(step, defaultNanos);
        LatencyQuantiles cold = cold(step, defaultNanos);
        double coldShare = coldShareWhereNotBelievedWarm;
        return new LatencyQuantiles(
                coldShare > COLD_START_AT_LOW ? cold.low() : warm.low(),
                coldShare > COLD_START_AT_MEDIAN ? cold.median() : warm.median(),
                Math.max(warm.high(), coldShare > COLD_START_AT_HIGH ? cold.high() : warm.high()));
    }

    private static Optional<LatencyQuantiles> learned(Map<String, LatencyHistogram> byFunction, Step step) {
        LatencyHistogram histogram = byFunction.get(step.function());
        return histogram == null ? Optional.empty() : histogram.quantiles();
    }
}
