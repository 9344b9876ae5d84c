package wharfhinge.engine;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * Timers in the order in which they are due; those due at the same time keep the order in which they were added. A cancelled timer
 * releases its task at once and no longer counts; its entry is removed when it becomes the first, or once cancelled entries make up half
 * of the queue, so that cancelling takes constant time on average and the queue holds no more than twice its active timers. Confined to
 * one thread.
 */
final class TimerQueue {
    /** Number of cancelled entries below which they are not worth a pass over the queue. */
    private static final int MIN_CANCELLED_TO_PURGE = 64;

    /** A task that is due at a time. */
    final class Timer {
        private final long dueAt;
        private final long sequence;
        private final String name;
        private Runnable task; // null once the timer was cancelled or taken from the queue

        private Timer(long dueAt, long sequence, String name, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.name = name;
            this.task = task;
        }

        long dueAt() {
            return dueAt;
        }

        String name() {
            return name;
        }

        /** Whether the timer was neither cancelled nor taken from the queue. */
        boolean isActive() {
            return task != null;
        }

        /** Cancels the timer; does nothing if it is not active. */
        void cancel() {
            if (task != null) {
                task = null;
                onCancelled();
            }
        }
    }

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingLong(Timer::dueAt).thenComparingLong(timer -> timer.sequence));
    private long nextSequence;
    private int cancelled; // entries of the queue

    Timer add(long dueAt, String name, Runnable task) {
        Timer timer = new Timer(dueAt, nextSequence++, name, task);
        timers.add(timer);
        return timer;
    }

    /** The first active timer, or null. */
    Timer first() {
        Timer first = timers.peek();
        while (first != null && !first.isActive()) {
            timers.poll();
            cancelled--;
            first = timers.peek();
        }
        return first;
    }

    /** Removes the first active timer, which must exist, and returns its task. */
    Runnable takeFirst() {
        Timer first = first();
        timers.poll();
        Runnable task = first.task;
        first.task = null;
        return task;
    }

    void cancelAll(Predicate<String> nameFilter) {
        timers.stream().filter(timer -> nameFilter.test(timer.name)).toList().forEach(Timer::cancel);
    }

    /** The number of entries, including cancelled ones that were not removed yet. */
    int size() {
        return timers.size();
    }

    private void onCancelled() {
        cancelled++;
        if (cancelled >= MIN_CANCELLED_TO_PURGE && cancelled > timers.size() / 2) {
            timers.removeIf(timer -> !timer.isActive());
            cancelled = 0;
        }
    }
}
