package wharfhinge.decisions.copies;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Accounts for the memory of a worker's copies, in KiB. Each copy is booked under one {@link Part}; memory that is neither booked nor
 * leaked is free. Only {@link #remove} removes a copy, so memory that could not be released stays counted. All operations take
 * constant time. Bookings are changed only by {@link CopyPool}. Not thread-safe.
 */
public final class MemoryAccounting {
    /** What the memory of a copy is used for. The worker's status shows the names in lower case. */
    public enum Part {
        /** The load of the copy is in progress. */
        LOADING(false),
        /** The copy runs no call and may be evicted. */
        IDLE(true),
        /** The copy runs calls. */
        WORKING(false),
        /** The copy is being unloaded. */
        LEAVING(false),
        /** The memory cannot be released because code in the copy does not end. */
        STUCK(false);

        private final boolean isEvictable;

        Part(boolean isEvictable) {
            this.isEvictable = isEvictable;
        }
    }

    private record Booking(long memoryKb, Part part) {}

    private final long totalKb;
    private final Map<Long, Booking> bookings = new HashMap<>();
    private final Map<Part, Long> bookedKbByPart = new EnumMap<>(Part.class);
    private long leakedKb;

    /** Creates an accounting in which all of the memory is free. */
    MemoryAccounting(long totalKb) {
        this.totalKb = totalKb;
        for (Part part : Part.values()) {
            bookedKbByPart.put(part, 0L);
        }
    }

    /**
     * Books a copy.
     *
     * @throws IllegalStateException if the copy is booked already or needs more memory than is free
     */
    void book(long copy, long memoryKb, Part part) {
        if (memoryKb < 0 || memoryKb > freeKb() || bookings.containsKey(copy)) {
            throw new IllegalStateException("cannot book copy " + copy + " with " + memoryKb
                    + " KiB: booked already or more than the " + freeKb() + " KiB free");
        }
        put(copy, new Booking(memoryKb, part));
    }

    /** Moves a copy to another part. */
    void move(long copy, Part part) {
        Booking booking = take(copy);
        put(copy, new Booking(booking.memoryKb, part));
    }

    /** Changes the memory booked for a copy. Returns false and changes nothing if the difference is more than is free. */
    boolean resize(long copy, long memoryKb) {
        Booking booking = bookings.get(copy);
        if (memoryKb - booking.memoryKb > freeKb()) {
            return false;
        }
        take(copy);
        put(copy, new Booking(memoryKb, booking.part));
        return true;
    }

    /** Removes the booking of a copy whose memory has been released. */
    void remove(long copy) {
        take(copy);
    }

    /**
     * Sets the memory that the process holds beyond what is booked. This memory does not count as free until a lower value is set. A
     * negative value counts as 0.
     */
    void setLeakedKb(long kb) {
        leakedKb = Math.max(0, kb);
    }

    private Booking take(long copy) {
        Booking booking = bookings.remove(copy);
        if (booking == null) {
            throw new IllegalStateException("copy " + copy + " is not booked");
        }
        bookedKbByPart.merge(booking.part, -booking.memoryKb, Long::sum);
        return booking;
    }

    private void put(long copy, Booking booking) {
        bookings.put(copy, booking);
        bookedKbByPart.merge(booking.part, booking.memoryKb, Long::sum);
    }

    /** Memory booked under a part, in KiB. */
    public long bookedKb(Part part) {
        return bookedKbByPart.get(part);
    }

    /** Memory that the process holds beyond what is booked, as last measured, in KiB. */
    public long leakedKb() {
        return leakedKb;
    }

    /** Memory booked for all copies, in KiB. */
    public long totalBookedKb() {
        return bookedKbByPart.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Memory that is neither booked nor leaked, in KiB; 0 if booked and leaked memory exceed the total. */
    public long freeKb() {
        return Math.max(0, totalKb - totalBookedKb() - leakedKb);
    }

    /** Total memory for copies, in KiB. */
    public long totalKb() {
        return totalKb;
    }

    /** Share of the memory, 0 to 1, that cannot be freed by evicting idle copies. */
    public double busyShare() {
        long busyKb = leakedKb;
        for (Part part : Part.values()) {
            busyKb += part.isEvictable ? 0 : bookedKbByPart.get(part);
        }
        return Math.min(1, busyKb / (double) totalKb);
    }
}
