package wharfhinge.engine;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/** Counters and latencies of an engine. Written on the engine's thread and by submitters; any thread may read. */
public final class EngineMetrics {
    private static final long MAX_RECORDED_NANOS = 60_000_000_000L;

    /** A counter since the start. The status page shows it under its name in lower case, and under its deprecated key if it has one. */
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
        LOAD_QUERIES,
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
    private final Recorder eventAgeRecorder = new Recorder(MAX_RECORDED_NANOS, 2);
    private final Recorder decisionTimeRecorder = new Recorder(MAX_RECORDED_NANOS, 2);
    private final Histogram eventAges = new Histogram(MAX_RECORDED_NANOS, 2);
    private final Histogram decisionTimes = new Histogram(MAX_RECORDED_NANOS, 2);

    EngineMetrics() {
        for (Counter counter : Counter.values()) {
            counts.put(counter, new LongAdder());
        }
    }

    void increment(Counter counter) {
        counts.get(counter).increment();
    }

    void recordEventAge(long nanos) {
        eventAgeRecorder.recordValue(Math.max(0, Math.min(MAX_RECORDED_NANOS, nanos)));
    }

    void recordDecisionTime(long nanos) {
        decisionTimeRecorder.recordValue(Math.max(0, Math.min(MAX_RECORDED_NANOS, nanos)));
    }

    /** The value of a counter. */
    public long count(Counter counter) {
        return counts.get(counter).sum();
    }

    /** All metrics by key: counters, and quantiles in microseconds of the queueing delay of events and of the time to handle them. */
    public synchronized Map<String, Long> snapshot() {
        Map<String, Long> snapshot = new LinkedHashMap<>();
        counts.forEach((counter, count) -> {
            snapshot.put(counter.key(), count.sum());
            if (counter.deprecatedKey != null) {
                snapshot.put(counter.deprecatedKey, count.sum());
            }
        });
        eventAges.add(eventAgeRecorder.getIntervalHistogram());
        decisionTimes.add(decisionTimeRecorder.getIntervalHistogram());
        addQuantiles("event_age_us", eventAges, snapshot);
        addQuantiles("decision_us", decisionTimes, snapshot);
        return snapshot;
    }

    private static void addQuantiles(String name, Histogram histogram, Map<String, Long> snapshot) {
        snapshot.put(name + "_p50", histogram.getValueAtPercentile(50) / 1000);
        snapshot.put(name + "_p99", histogram.getValueAtPercentile(99) / 1000);
        snapshot.put(name + "_p999", histogram.getValueAtPercentile(99.9) / 1000);
        snapshot.put(name + "_max", histogram.getMaxValue() / 1000);
    }
}
