package wharfhinge.decisions.chain;

import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Recent latencies of one kind. Only the samples of the current and the previous window are kept, each in its own histogram. A window
 * ends when it has enough samples, or with the first sample after its time is over. The quantiles are recomputed every few samples,
 * which keeps reading them cheap.
 */
final class LatencyHistogram {
    private static final long RESOLUTION_NANOS = 100_000L;
    /** Highest latency recorded, 60 s, in units of the resolution; longer ones are recorded as this. */
    private static final long MAX_UNITS = 60_000_000_000L / RESOLUTION_NANOS;

    private static final int SIGNIFICANT_DIGITS = 1;
    private static final int WINDOW_SAMPLES = 64;
    private static final long WINDOW_NANOS = 20_000_000_000L;
    private static final int SAMPLES_PER_UPDATE = 4;
    private static final int MIN_SAMPLES = 3; // fewer are less reliable than what the step itself states

    private IntCountsHistogram current = newHistogram();
    private IntCountsHistogram previous = newHistogram();
    private long windowStartedAtNanos;
    private int samplesSinceUpdate;
    private Optional<LatencyQuantiles> quantiles = Optional.empty();

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);
    }

    void add(long nowNanos, long latencyNanos) {
        if (isWindowOver(nowNanos)) {
            IntCountsHistogram oldest = previous;
            previous = current;
            current = oldest;
            current.reset();
            windowStartedAtNanos = nowNanos;
        }
        current.recordValue(Math.max(1, Math.min(MAX_UNITS, latencyNanos / RESOLUTION_NANOS)));
        if (quantiles.isEmpty() || ++samplesSinceUpdate >= SAMPLES_PER_UPDATE) {
            samplesSinceUpdate = 0;
            quantiles = compute();
        }
    }

    private boolean isWindowOver(long nowNanos) {
        boolean isFull = current.getTotalCount() >= WINDOW_SAMPLES;
        boolean isOld = nowNanos - windowStartedAtNanos > WINDOW_NANOS && current.getTotalCount() > 0;
        return isFull || isOld;
    }

    /** The quantiles as last computed; empty if there are too few samples. */
    Optional<LatencyQuantiles> quantiles() {
        return quantiles;
    }

    private Optional<LatencyQuantiles> compute() {
        IntCountsHistogram all = newHistogram();
        all.add(current);
        all.add(previous);
        if (all.getTotalCount() < MIN_SAMPLES) {
            return Optional.empty();
        }
        return Optional.of(new LatencyQuantiles(
                all.getValueAtPercentile(10) * RESOLUTION_NANOS,
                all.getValueAtPercentile(50) * RESOLUTION_NANOS,
                all.getValueAtPercentile(90) * RESOLUTION_NANOS));
    }
}
