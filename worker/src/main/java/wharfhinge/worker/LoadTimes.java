package wharfhinge.worker;

import java.util.Map;

/** What loads took, added up by their parts; any thread. */
final class LoadTimes {
    private long loads;
    private long fetchNs;
    private long verifyNs;
    private long startNs;

    synchronized void add(long fetch, long verify, long start) {
        loads++;
        fetchNs += fetch;
        verifyNs += verify;
        startNs += start;
    }

    synchronized void into(Map<String, Long> figures) {
        figures.put("loads_done", loads);
        figures.put("fetch_us", fetchNs / 1000);
        figures.put("verify_us", verifyNs / 1000);
        figures.put("start_us", startNs / 1000);
    }
}
