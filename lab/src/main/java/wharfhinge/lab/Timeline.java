package wharfhinge.lab;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of the simulation, in nanoseconds of simulated time. Actions run in the order of their times; actions of the same time
 * run in the order of scheduling. Not thread-safe.
 */
final class Timeline {
    static final long MS = 1_000_000L;

    private record ScheduledAction(long at, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::sequence));
    private long sequence;
    private long now = MS; // starts above 0, because 0 means "never" in the start time of an endpoint

    long now() {
        return now;
    }

    void after(long delayNanos, Runnable action) {
        queue.add(new ScheduledAction(now + Math.max(0, delayNanos), sequence++, action));
    }

    void at(long atNanos, Runnable action) {
        after(atNanos - now, action);
    }

    /** Runs all actions that are due by {@code end}. */
    void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().at <= end) {
            ScheduledAction next = queue.poll();
            now = next.at;
            next.action.run();
        }
        now = Math.max(now, end);
    }
}
