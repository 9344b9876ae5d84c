package wharfhinge.standin.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds a worker's books against what the system says its process holds. The books are asked for before and after the system,
 * so that what changes between the two is not taken for a fault: where they moved, copies may have come and gone between, and
 * the range is wider by as much as they moved. Knows docs/operate/worker.md alone: the names of the books'
 * lines, and that copies' memory is mapped from a file named {@value #FILE}. One thread.
 */
public final class MemoryJudge {
    private static final String FILE = "copies.map";
    private static final double MOST_SHARE = 0.02;
    private static final long STEP_KB = 256; // loads make memory resident in steps, and tell after each
    private static final List<String> PARTS = List.of("loading_kb", "idle_kb", "working_kb", "leaving_kb", "stuck_kb");

    private final List<String> faults = new ArrayList<>();
    private int samples;
    private int moving;
    private double worst;
    private long most;

    /**
     * A sample of one worker.
     *
     * @param before books, lines of a name and a number
     * @param smaps  {@code /proc/PID/smaps}
     * @param after  books again
     */
    public void sample(String worker, String before, String smaps, String after) {
        Map<String, Long> first = read(before);
        Map<String, Long> last = read(after);
        long held = held(smaps);
        long moved = Math.abs(first.get("resident_kb") - last.get("resident_kb"));
        long least = Math.min(first.get("resident_kb"), last.get("resident_kb")) - moved;
        long largest = Math.max(first.get("resident_kb"), last.get("resident_kb")) + moved;
        moving += moved > 0 ? 1 : 0;
        long off = Math.max(0, Math.max(least - held, held - largest));
        samples++;
        most = Math.max(most, held);
        if (off > STEP_KB) {
            worst = Math.max(worst, off / (double) Math.max(held, 1));
        }
        if (off > Math.max(STEP_KB, MOST_SHARE * held)) {
            faults.add(worker + ": the process holds " + held + " KiB in copies, the books said " + least + " to "
                    + largest);
        }
        whole(worker, first);
        whole(worker, last);
    }

    /** Nothing is lost from the books: what is free and what stands in some part is all there is. */
    private void whole(String worker, Map<String, Long> books) {
        long parts = PARTS.stream().mapToLong(books::get).sum();
        long sum = books.get("free_kb") + books.get("leaked_kb") + parts;
        if (books.get("free_kb") > 0 && sum != books.get("total_kb")) {
            faults.add(worker + ": the books add up to " + sum + " of " + books.get("total_kb") + " KiB");
        }
        boolean still = books.get("loading_kb") == 0 && books.get("leaving_kb") == 0;
        if (still && books.get("resident_kb") != parts) {
            faults.add(worker + ": " + books.get("resident_kb") + " KiB resident, copies in the books have " + parts);
        }
    }

    private static Map<String, Long> read(String books) {
        Map<String, Long> values = new HashMap<>();
        books.lines().map(l -> l.split(" ")).forEach(f -> values.put(f[0], Long.parseLong(f[1])));
        return values;
    }

    private static long held(String smaps) {
        long sum = 0;
        boolean copies = false;
        for (String line : smaps.split("\n")) {
            String first = line.substring(0, Math.max(0, line.indexOf(' ')));
            if (first.contains("-")) {
                copies = line.contains(FILE);
            } else if (copies && first.equals("Rss:")) {
                sum += Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return sum;
    }

    /** What was found wrong. */
    public List<String> faults() {
        return List.copyOf(faults);
    }

    /** In a line. */
    public String summary() {
        return String.format(
                java.util.Locale.ROOT,
                "memory: %d samples (%d while the books moved), most held by a process %d "
                        + "KiB, worst deviation %.2f%%, faults %d",
                samples,
                moving,
                most,
                100 * worst,
                faults.size());
    }
}
