package wharfhinge.engine;

import java.util.function.LongSupplier;

/** A clock in nanoseconds that never runs backwards, whatever the wall clock does. Not thread-safe. */
final class MonotonicClock {
    /** Gives a worker that started up to a day before this process a positive start time. */
    private static final long START_OFFSET_NANOS = 86_400L * 1_000_000_000L;

    private final LongSupplier nanoTime;
    private final long base;
    private long last;

    MonotonicClock(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.base = nanoTime.getAsLong() - START_OFFSET_NANOS;
        this.last = START_OFFSET_NANOS;
    }

    /** The current time, never less than the last one returned. */
    long now() {
        last = Math.max(last, fromNanoTime(nanoTime.getAsLong()));
        return last;
    }

    /** Converts a reading of {@link System#nanoTime} to this clock. */
    long fromNanoTime(long nanos) {
        return nanos - base;
    }

    /** Converts a time of this clock to a reading of {@link System#nanoTime}. */
    long toNanoTime(long at) {
        return at + base;
    }
}
