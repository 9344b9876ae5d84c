package wharfhinge.standin.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares a worker's memory accounting with the resident memory of its copies as the operating system reports it. The accounting is read
 * before and after the system's figure, so that a change between the two is not taken for a fault: copies may have been loaded and evicted
 * meanwhile, so the accepted range is widened on both sides by the change. Relies only on docs/operate/worker.md: the keys of the
 * accounting and that the memory of copies is mapped from a file named {@value #COPY_MAPPING_FILE}. Not thread-safe.
 */
public final class MemoryAccountingVerifier {
    private static final String COPY_MAPPING_FILE = "copies.map";
    private static final double MAX_DEVIATION = 0.02;
    /** A load touches memory in steps of this size and updates the accounting after each. */
    private static final long LOAD_STEP_KB = 256;

    private static final List<String> STATE_KEYS =
            List.of("loading_kb", "idle_kb", "working_kb", "leaving_kb", "stuck_kb");

    private final List<String> faults = new ArrayList<>();
    private int samples;
    private int samplesWithChange;
    private double worstDeviation;
    private long maxResidentKb;

    /**
     * Checks one sample of a worker.
     *
     * @param before memory accounting before the system's figure was read, lines of a key and a number
     * @param smaps  contents of {@code /proc/PID/smaps}
     * @param after  memory accounting after it was read
     */
    public void sample(String worker, String before, String smaps, String after) {
        Map<String, Long> accountedBefore = read(before);
        Map<String, Long> accountedAfter = read(after);
        long residentKb = residentKb(smaps);
        long changeKb = Math.abs(accountedBefore.get("resident_kb") - accountedAfter.get("resident_kb"));
        long leastKb = Math.min(accountedBefore.get("resident_kb"), accountedAfter.get("resident_kb")) - changeKb;
        long largestKb = Math.max(accountedBefore.get("resident_kb"), accountedAfter.get("resident_kb")) + changeKb;
        samplesWithChange += changeKb > 0 ? 1 : 0;
        long deviationKb = Math.max(0, Math.max(leastKb - residentKb, residentKb - largestKb));
        samples++;
        maxResidentKb = Math.max(maxResidentKb, residentKb);
        if (deviationKb > LOAD_STEP_KB) {
            worstDeviation = Math.max(worstDeviation, deviationKb / (double) Math.max(residentKb, 1));
        }
        if (deviationKb > Math.max(LOAD_STEP_KB, MAX_DEVIATION * residentKb)) {
            faults.add(worker + ": copies have " + residentKb + " KiB resident, the memory accounting reports "
                    + leastKb + " to " + largestKb);
        }
        checkSums(worker, accountedBefore);
        checkSums(worker, accountedAfter);
    }

    /** Checks that free and leaked memory and the memory of copies in each state add up to the total. */
    private void checkSums(String worker, Map<String, Long> accounted) {
        long copiesKb = STATE_KEYS.stream().mapToLong(accounted::get).sum();
        long sumKb = accounted.get("free_kb") + accounted.get("leaked_kb") + copiesKb;
        if (accounted.get("free_kb") > 0 && sumKb != accounted.get("total_kb")) {
            faults.add(worker + ": the memory accounting adds up to " + sumKb + " of " + accounted.get("total_kb")
                    + " KiB");
        }
        boolean isSettled = accounted.get("loading_kb") == 0 && accounted.get("leaving_kb") == 0;
        if (isSettled && accounted.get("resident_kb") != copiesKb) {
            faults.add(worker + ": " + accounted.get("resident_kb")
                    + " KiB resident in the memory accounting, its copies have " + copiesKb);
        }
    }

    private static Map<String, Long> read(String accounted) {
        Map<String, Long> values = new HashMap<>();
        accounted
                .lines()
                .map(line -> line.split(" "))
                .forEach(keyAndValue -> values.put(keyAndValue[0], Long.parseLong(keyAndValue[1])));
        return values;
    }

    private static long residentKb(String smaps) {
        long sumKb = 0;
        boolean inCopyMapping = false;
        for (String line : smaps.split("\n")) {
            String firstWord = line.substring(0, Math.max(0, line.indexOf(' ')));
            if (firstWord.contains("-")) {
                inCopyMapping = line.contains(COPY_MAPPING_FILE);
            } else if (inCopyMapping && firstWord.equals("Rss:")) {
                sumKb += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return sumKb;
    }

    /** Descriptions of the deviations found. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** The result in one line. */
    public String summary() {
        return String.format(
                java.util.Locale.ROOT,
                "memory: %d samples (%d while the books moved), most held by a process %d "
                        + "KiB, worst deviation %.2f%%, faults %d",
                samples,
                samplesWithChange,
                maxResidentKb,
                100 * worstDeviation,
                faults.size());
    }
}
