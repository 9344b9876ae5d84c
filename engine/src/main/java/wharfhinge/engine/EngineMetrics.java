package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** What the loop counts. The loop writes, any thread may read. */
public final class EngineMetrics {
    private static final long LONGEST_NS = 60_000_000_000L;

    /** Things counted from the start on. */
    public enum Counter {
        ACCEPTED("taken"),
        SERVED,
        REJECTED("refused"),
        FAILED,
        CLIENT_CANCELLED("left"),
        ATTEMPTS,
        LATE_ANSWERS,
        SUPERSEDED("moot"),
        PROBES,
        LOAD_ORDERS("holds"),
        UNLOADS,
        REJECTED_QUEUE_FULL("turned_away_hand_over"),
        REJECTED_TOO_MANY_PENDING("turned_away_open"),
        REJECTED_SHUTTING_DOWN("turned_away_closing"),
        RESTARTS,
        ENDPOINT_UPDATES("lists"),
        STREAMS,
        DIAGNOSTICS_DROPPED("remarks_dropped");

        private final String deprecatedKey; // null where the key never changed

        Counter() {
            this(null);
        }

        Counter(String deprecatedKey) {
            this.deprecatedKey = deprecatedKey;
        }

        private String key() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final Map<Counter, LongAdder> counts = new LinkedHashMap<>();
    private final Recorder age = new Recorder(LONGEST_NS, 2);
    private final Recorder decision = new Recorder(LONGEST_NS, 2);
    private final Histogram ages = new Histogram(LONGEST_NS, 2);
    private final Histogram decisions = new Histogram(LONGEST_NS, 2);

    EngineMetrics() {
        for (Counter count : Counter.values()) {
            counts.put(count, new LongAdder());
        }
    }

    void add(Counter count) {
        counts.get(count).increment();
    }

    void age(long ns) {
        age.recordValue(Math.max(0, Math.min(LONGEST_NS, ns)));
    }

    void decision(long ns) {
        decision.recordValue(Math.max(0, Math.min(LONGEST_NS, ns)));
    }

    /** How often something was counted. */
    public long count(Counter count) {
        return counts.get(count).sum();
    }

    /** All figures by name: counts, and in microseconds how old events were when told and how long they took. */
    public synchronized Map<String, Long> snapshot() {
        Map<String, Long> figures = new LinkedHashMap<>();
        counts.forEach((counter, count) -> {
            figures.put(counter.key(), count.sum());
            if (counter.deprecatedKey != null) {
                figures.put(counter.deprecatedKey, count.sum());
            }
        });
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
