package wharfhinge.worker;

import java.util.Map;

/** Total time of all loads, by phase. Thread-safe. */
final class LoadTimes {
    private long loads;
    private long fetchNanos;
    private long verifyNanos;
    private long startNanos;

    synchronized void add(long fetch, long verify, long start) {
        loads++;
        fetchNanos += fetch;
        verifyNanos += verify;
        startNanos += start;
    }

    synchronized void addTo(Map<String, Long> figures) {
        figures.put("loads_done", loads);
        figures.put("fetch_us", fetchNanos / 1000);
        figures.put("verify_us", verifyNanos / 1000);
        figures.put("start_us", startNanos / 1000);
    }
}
