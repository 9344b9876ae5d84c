package wharfhinge.lab;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time, nanoseconds: what is due next happens next; of what is due at once, what was asked for first. One thread. */
final class Timeline {
    static final long MS = 1_000_000L;

    private record Due(long at, long number, Runnable what) {}

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
    private long number;
    private long now = MS; // 0 stands for "never" in what is told of workers

    long now() {
        return now;
    }

    void after(long delayNanos, Runnable what) {
        queue.add(new Due(now + Math.max(0, delayNanos), number++, what));
    }

    void at(long when, Runnable what) {
        after(when - now, what);
    }

    /** Lets happen what is due by then. */
    void runUntil(long end) {
        while (!queue.isEmpty() && queue.peek().at <= end) {
            Due due = queue.poll();
            now = due.at;
            due.what.run();
        }
        now = Math.max(now, end);
    }
}
