package wharfhinge.gateway.loop;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** What the loop counts. The loop writes, any thread may read. */
public final class LoopStats {
    private static final long LONGEST_NS = 60_000_000_000L;

    /** Things counted from the start on. */
    public enum Count {
        TAKEN,
        SERVED,
        REFUSED,
        FAILED,
        LEFT,
        ATTEMPTS,
        LATE_ANSWERS,
        MOOT,
        PROBES,
        HOLDS,
        UNLOADS,
        TURNED_AWAY_HAND_OVER,
        TURNED_AWAY_OPEN,
        TURNED_AWAY_CLOSING,
        RESTARTS,
        LISTS,
        STREAMS,
        REMARKS_DROPPED
    }

    private final Map<Count, LongAdder> counts = new LinkedHashMap<>();
    private final Recorder age = new Recorder(LONGEST_NS, 2);
    private final Recorder decision = new Recorder(LONGEST_NS, 2);
    private final Histogram ages = new Histogram(LONGEST_NS, 2);
    private final Histogram decisions = new Histogram(LONGEST_NS, 2);

    LoopStats() {
        for (Count count : Count.values()) {
            counts.put(count, new LongAdder());
        }
    }

    void add(Count count) {
        counts.get(count).increment();
    }

    void age(long ns) {
        age.recordValue(Math.max(0, Math.min(LONGEST_NS, ns)));
    }

    void decision(long ns) {
        decision.recordValue(Math.max(0, Math.min(LONGEST_NS, ns)));
    }

    /** How often something was counted. */
    public long count(Count count) {
        return counts.get(count).sum();
    }

    /** All figures by name: counts, and in microseconds how old events were when told and how long they took. */
    public synchronized Map<String, Long> figures() {
        Map<String, Long> figures = new LinkedHashMap<>();
        counts.forEach((count, sum) -> figures.put(count.name().toLowerCase(java.util.Locale.ROOT), sum.sum()));
        ages.add(age.getIntervalHistogram());
        decisions.add(decision.getIntervalHistogram());
        quantiles("event_age_us", ages, figures);
        quantiles("decision_us", decisions, figures);
        return figures;
    }

    private static void quantiles(String name, Histogram histogram, Map<String, Long> figures) {
        figures.put(name + "_p50", histogram.getValueAtPercentile(50) / 1000);
        figures.put(name + "_p99", histogram.getValueAtPercentile(99) / 1000);
        figures.put(name + "_p999", histogram.getValueAtPercentile(99.9) / 1000);
        figures.put(name + "_max", histogram.getMaxValue() / 1000);
    }
}
