package wharfhinge.decisions.chain;

/**
 * A distribution of latencies by three quantiles, in nanoseconds and in ascending order.
 *
 * @param low    10th percentile
 * @param median 50th percentile
 * @param high   90th percentile
 */
record LatencyQuantiles(long low, long median, long high) {
    private static final double LOW_PROBABILITY = 0.1;
    private static final double MEDIAN_PROBABILITY = 0.5;
    private static final double HIGH_PROBABILITY = 0.9;
    /** The distribution of a latency that is always 0. */
    static final LatencyQuantiles ZERO = new LatencyQuantiles(0, 0, 0);

    /** Sum of two latencies, as if fully correlated: a queue or a slow store is slow for all steps of a chain. */
    LatencyQuantiles plus(LatencyQuantiles next) {
        return new LatencyQuantiles(low + next.low, median + next.median, high + next.high);
    }

    /** What remains of the latency after some time has passed. */
    LatencyQuantiles remainingAfter(long elapsedNanos) {
        return new LatencyQuantiles(
                Math.max(0, low - elapsedNanos), Math.max(0, median - elapsedNanos), Math.max(0, high - elapsedNanos));
    }

    /**
     * Probability, 0 to 1, that the latency is at most {@code nanos}: interpolated linearly between 0, the quantiles and twice the high
     * quantile, where it reaches 1.
     */
    double probabilityWithin(long nanos) {
        if (nanos <= 0) {
            return high == 0 ? 1 : 0;
        }
        if (nanos < low) {
            return LOW_PROBABILITY * nanos / low;
        }
        if (nanos < median) {
            return LOW_PROBABILITY + (MEDIAN_PROBABILITY - LOW_PROBABILITY) * (nanos - low) / Math.max(1, median - low);
        }
        if (nanos < high) {
            return MEDIAN_PROBABILITY
                    + (HIGH_PROBABILITY - MEDIAN_PROBABILITY) * (nanos - median) / Math.max(1, high - median);
        }
        return Math.min(1, HIGH_PROBABILITY + (1 - HIGH_PROBABILITY) * (nanos - high) / Math.max(1.0, high));
    }
}
