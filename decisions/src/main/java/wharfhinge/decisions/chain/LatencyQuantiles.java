package wharfhinge.decisions.chain;

/**
 * How long something takes: a tenth of the times are under {@code low}, half under {@code median}, nine tenths under
 * {@code high}; nanoseconds, in rising order.
 */
public record LatencyQuantiles(long low, long median, long high) {
    private static final double LOW = 0.1;
    private static final double HALF = 0.5;
    private static final double HIGH = 0.9;
    /** Nothing to do. */
    public static final LatencyQuantiles NONE = new LatencyQuantiles(0, 0, 0);

    /** One after the other, as if slow came with slow: a queue or a slow store is slow for all of a chain. */
    public LatencyQuantiles then(LatencyQuantiles next) {
        return new LatencyQuantiles(low + next.low, median + next.median, high + next.high);
    }

    /** What is left of it after some of its time. */
    public LatencyQuantiles after(long elapsed) {
        return new LatencyQuantiles(
                Math.max(0, low - elapsed), Math.max(0, median - elapsed), Math.max(0, high - elapsed));
    }

    /** The chance, from 0 to 1, that it ends within a time; straight lines between what is known. */
    public double within(long time) {
        if (time <= 0) {
            return high == 0 ? 1 : 0;
        }
        if (time < low) {
            return LOW * time / low;
        }
        if (time < median) {
            return LOW + (HALF - LOW) * (time - low) / Math.max(1, median - low);
        }
        if (time < high) {
            return HALF + (HIGH - HALF) * (time - median) / Math.max(1, high - median);
        }
        return Math.min(1, HIGH + (1 - HIGH) * (time - high) / Math.max(1.0, high));
    }
}
