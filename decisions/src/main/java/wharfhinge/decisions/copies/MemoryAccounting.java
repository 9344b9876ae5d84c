package wharfhinge.decisions.copies;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The books on a worker's memory, in KiB: each copy stands in one {@link Part} with one figure, and what is free is what is
 * left. A copy leaves the books only by {@link #remove}, so that memory which could not be given back stays counted. All
 * calls take constant time; one thread.
 */
public final class MemoryAccounting {
    /** What a copy's memory is used for. */
    public enum Part {
        /** A load is under way. */
        LOADING(false),
        /** Stands and runs nothing: may be had. */
        IDLE(true),
        /** Runs calls. */
        WORKING(false),
        /** Is being given back. */
        LEAVING(false),
        /** Can't be given back: something in it does not end. */
        STUCK(false);

        private final boolean canBeFreed;

        Part(boolean canBeFreed) {
            this.canBeFreed = canBeFreed;
        }
    }

    private record Entry(long kb, Part part) {}

    private final long total;
    private final Map<Long, Entry> entries = new HashMap<>();
    private final Map<Part, Long> sums = new EnumMap<>(Part.class);
    private long leaked;

    /** Empty books over so much memory. */
    public MemoryAccounting(long totalKb) {
        this.total = totalKb;
        for (Part part : Part.values()) {
            sums.put(part, 0L);
        }
    }

    /** Books a copy. @throws IllegalStateException where it is booked already or does not fit what is free */
    public void book(long copy, long kb, Part part) {
        if (kb < 0 || kb > free() || entries.containsKey(copy)) {
            throw new IllegalStateException("copy " + copy + " of " + kb + " KiB with " + free() + " free");
        }
        put(copy, new Entry(kb, part));
    }

    /** Moves a copy to another part. */
    public void move(long copy, Part part) {
        Entry e = take(copy);
        put(copy, new Entry(e.kb, part));
    }

    /** Changes what a copy needs; false, and nothing changed, where more is wanted than is free. */
    public boolean resize(long copy, long kb) {
        Entry e = entries.get(copy);
        if (kb - e.kb > free()) {
            return false;
        }
        take(copy);
        put(copy, new Entry(kb, e.part));
        return true;
    }

    /** A copy's memory was given back. */
    public void remove(long copy) {
        take(copy);
    }

    /** What the process holds beyond the books; counts as not free until told less. */
    public void leaked(long kb) {
        leaked = Math.max(0, kb);
    }

    private Entry take(long copy) {
        Entry e = entries.remove(copy);
        if (e == null) {
            throw new IllegalStateException("copy " + copy + " is not in the books");
        }
        sums.merge(e.part, -e.kb, Long::sum);
        return e;
    }

    private void put(long copy, Entry e) {
        entries.put(copy, e);
        sums.merge(e.part, e.kb, Long::sum);
    }

    /** Whether a copy is in the books. */
    public boolean has(long copy) {
        return entries.containsKey(copy);
    }

    /** What stands in a part. */
    public long in(Part part) {
        return sums.get(part);
    }

    /** What the process holds beyond the books, as last told. */
    public long leaked() {
        return leaked;
    }

    /** What copies hold, whatever they do. */
    public long held() {
        return sums.values().stream().mapToLong(Long::longValue).sum();
    }

    /** What is not held; never under 0, though a leak may have eaten more. */
    public long free() {
        return Math.max(0, total - held() - leaked);
    }

    /** All there is. */
    public long total() {
        return total;
    }

    /** The share, 0 to 1, that can't be freed by unloading idle copies. */
    public double busyShare() {
        long busy = leaked;
        for (Part part : Part.values()) {
            busy += part.canBeFreed ? 0 : sums.get(part);
        }
        return Math.min(1, busy / (double) total);
    }
}
