package wharfhinge.decisions.copies;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * Accounts for the memory of a worker's copies, in KiB. Each copy is booked under one {@link Part}; what is not booked is free.
 * Only {@link #remove} takes a copy out, so that memory which could not be given back stays counted. All operations take
 * constant time; one thread. Changes are made by {@link CopyPool} alone.
 */
public final class MemoryAccounting {
    /** What the memory of a copy is used for. Operators see the names, in lower case, in the worker's status. */
    public enum Part {
        /** A load is under way. */
        LOADING(false),
        /** The copy runs no call and may be evicted. */
        IDLE(true),
        /** The copy runs calls. */
        WORKING(false),
        /** The copy is being unloaded. */
        LEAVING(false),
        /** The memory can't be given back: something in the copy does not end. */
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

    /** Accounting over so much memory, all of it free. */
    MemoryAccounting(long totalKb) {
        this.totalKb = totalKb;
        for (Part part : Part.values()) {
            bookedKbByPart.put(part, 0L);
        }
    }

    /**
     * Books a copy.
     *
     * @throws IllegalStateException where it is booked already or needs more than is free
     */
    void book(long copy, long memoryKb, Part part) {
        if (memoryKb < 0 || memoryKb > freeKb() || bookings.containsKey(copy)) {
            throw new IllegalStateException("copy " + copy + " of " + memoryKb + " KiB with " + freeKb() + " free");
        }
        put(copy, new Booking(memoryKb, part));
    }

    /** Moves a copy to another part. */
    void move(long copy, Part part) {
        Booking booking = take(copy);
        put(copy, new Booking(booking.memoryKb, part));
    }

    /** Changes what is booked for a copy; false, and nothing changed, where the difference is more than is free. */
    boolean resize(long copy, long memoryKb) {
        Booking booking = bookings.get(copy);
        if (memoryKb - booking.memoryKb > freeKb()) {
            return false;
        }
        take(copy);
        put(copy, new Booking(memoryKb, booking.part));
        return true;
    }

    /** The memory of a copy was given back. */
    void remove(long copy) {
        take(copy);
    }

    /** Sets what the process holds beyond what is booked; not free until a lower figure is set. Below 0 counts as 0. */
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

    /** What is booked under a part, KiB. */
    public long bookedKb(Part part) {
        return bookedKbByPart.get(part);
    }

    /** What the process holds beyond what is booked, as last measured, KiB. */
    public long leakedKb() {
        return leakedKb;
    }

    /** What is booked for all copies, KiB. */
    public long totalBookedKb() {
        return bookedKbByPart.values().stream().mapToLong(Long::longValue).sum();
    }

    /** What is neither booked nor leaked, KiB; never below 0, though a leak may exceed it. */
    public long freeKb() {
        return Math.max(0, totalKb - totalBookedKb() - leakedKb);
    }

    /** Memory for copies in all, KiB. */
    public long totalKb() {
        return totalKb;
    }

    /** The share of the memory, 0 to 1, that evictions of idle copies can't free. */
    public double busyShare() {
        long busyKb = leakedKb;
        for (Part part : Part.values()) {
            busyKb += part.isEvictable ? 0 : bookedKbByPart.get(part);
        }
        return Math.min(1, busyKb / (double) totalKb);
    }
}
