package wharfhinge.decisions.chain;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import wharfhinge.decisions.chain.ChainPlan.Step;

/**
 * Learned service times by function, apart for warm calls and cold starts. Where a function has too few samples, what the client
 * said of the step stands in, then what other functions take, then a part of the chain's time. Bounded: the functions not heard of
 * for longest are forgotten first.
 */
final class ServiceTimeEstimates {
    private static final double SMOOTHING = 0.05;
    /** A quantile is that of a cold start where one is likelier than the quantile's complement. */
    private static final double COLD_START_AT_LOW = 0.9;

    private static final double COLD_START_AT_MEDIAN = 0.5;
    private static final double COLD_START_AT_HIGH = 0.1;

    private final Map<String, LatencyHistogram> warmByFunction;
    private final Map<String, LatencyHistogram> coldByFunction;
    private final LatencyHistogram anyWarm = new LatencyHistogram();
    private final LatencyHistogram anyCold = new LatencyHistogram();
    private double coldShareWhereNotBelievedWarm = 1;

    /** Remembers at most so many functions. */
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

    /** A call was answered; {@code wasBelievedWarm} tells what was believed of its function when it started. */
    void learn(long nowNanos, String function, boolean isColdStart, boolean wasBelievedWarm, long tookNanos) {
        Map<String, LatencyHistogram> byFunction = isColdStart ? coldByFunction : warmByFunction;
        byFunction.computeIfAbsent(function, key -> new LatencyHistogram()).add(nowNanos, tookNanos);
        (isColdStart ? anyCold : anyWarm).add(nowNanos, tookNanos);
        if (!wasBelievedWarm) {
            coldShareWhereNotBelievedWarm += SMOOTHING * ((isColdStart ? 1 : 0) - coldShareWhereNotBelievedWarm);
        }
    }

    /** A call of a loaded function: as learned, else by the step's cost, else as for any function. */
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

    /** A call that waits for a load: as learned, else a warm one and the step's time for a load, else as for any function. */
    LatencyQuantiles cold(Step step, long defaultNanos) {
        Optional<LatencyQuantiles> learned = learned(coldByFunction, step);
        if (learned.isPresent()) {
            return learned.get();
        }
        long loadNanos = step.loadNanos();
        if (loadNanos > 0) {
            return warm(step, defaultNanos).then(new LatencyQuantiles(loadNanos * 3 / 4, loadNanos, 2 * loadNanos));
        }
        return anyCold.quantiles().orElseGet(() -> warm(step, defaultNanos)
                .then(new LatencyQuantiles(0, defaultNanos / 8, defaultNanos))); // nothing known: worth an attempt
    }

    /**
     * A call of a function that is not believed to be loaded. That does not mean a cold start: where other gateways keep
     * functions warm, such calls are often warm, and the share that was cold of late decides.
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
