package wharfhinge.decisions.chain;

import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Recent latencies of one kind. Two histograms take turns, so that what is older than two turns is forgotten; the quantiles are
 * computed every few samples, which keeps a look-up cheap.
 */
final class LatencyHistogram {
    private static final long UNIT_NANOS = 100_000L;
    private static final long MAX_UNITS = 60_000_000_000L / UNIT_NANOS;
    private static final int SIGNIFICANT_DIGITS = 1;
    private static final int TURN_SAMPLES = 64;
    private static final long TURN_NANOS = 20_000_000_000L;
    private static final int SAMPLES_PER_UPDATE = 4;
    private static final int MIN_SAMPLES = 3; // fewer say less than what the call itself tells

    private IntCountsHistogram current = newHistogram();
    private IntCountsHistogram previous = newHistogram();
    private long turnStartedAtNanos;
    private int samplesSinceUpdate;
    private Optional<LatencyQuantiles> quantiles = Optional.empty();

    private static IntCountsHistogram newHistogram() {
        return new IntCountsHistogram(MAX_UNITS, SIGNIFICANT_DIGITS);
    }

    void add(long nowNanos, long latencyNanos) {
        if (isTurnOver(nowNanos)) {
            IntCountsHistogram oldest = previous;
            previous = current;
            current = oldest;
            current.reset();
            turnStartedAtNanos = nowNanos;
        }
        current.recordValue(Math.max(1, Math.min(MAX_UNITS, latencyNanos / UNIT_NANOS)));
        if (quantiles.isEmpty() || ++samplesSinceUpdate >= SAMPLES_PER_UPDATE) {
            samplesSinceUpdate = 0;
            quantiles = compute();
        }
    }

    private boolean isTurnOver(long nowNanos) {
        boolean isFull = current.getTotalCount() >= TURN_SAMPLES;
        boolean isOld = nowNanos - turnStartedAtNanos > TURN_NANOS && current.getTotalCount() > 0;
        return isFull || isOld;
    }

    /** The quantiles as last computed; empty where there are too few samples. */
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
                all.getValueAtPercentile(10) * UNIT_NANOS,
                all.getValueAtPercentile(50) * UNIT_NANOS,
                all.getValueAtPercentile(90) * UNIT_NANOS));
    }
}
