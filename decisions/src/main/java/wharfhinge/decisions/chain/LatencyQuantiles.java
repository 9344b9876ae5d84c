package wharfhinge.decisions.chain;

/**
 * A distribution of latencies by three quantiles, in nanoseconds and in rising order.
 *
 * @param low    a tenth of the latencies are under it
 * @param median half of them are under it
 * @param high   nine tenths of them are under it
 */
record LatencyQuantiles(long low, long median, long high) {
    private static final double LOW = 0.1;
    private static final double HALF = 0.5;
    private static final double HIGH = 0.9;
    /** Takes no time. */
    static final LatencyQuantiles NONE = new LatencyQuantiles(0, 0, 0);

    /** One after the other, as if fully correlated: a queue or a slow store is slow for all steps of a chain. */
    LatencyQuantiles then(LatencyQuantiles next) {
        return new LatencyQuantiles(low + next.low, median + next.median, high + next.high);
    }

    /** What remains once some time has passed. */
    LatencyQuantiles after(long elapsedNanos) {
        return new LatencyQuantiles(
                Math.max(0, low - elapsedNanos), Math.max(0, median - elapsedNanos), Math.max(0, high - elapsedNanos));
    }

    /** The chance, 0 to 1, that it takes at most so long; linear between the quantiles. */
    double within(long nanos) {
        if (nanos <= 0) {
            return high == 0 ? 1 : 0;
        }
        if (nanos < low) {
            return LOW * nanos / low;
        }
        if (nanos < median) {
            return LOW + (HALF - LOW) * (nanos - low) / Math.max(1, median - low);
        }
        if (nanos < high) {
            return HALF + (HIGH - HALF) * (nanos - median) / Math.max(1, high - median);
        }
        return Math.min(1, HIGH + (1 - HIGH) * (nanos - high) / Math.max(1.0, high));
    }
}
