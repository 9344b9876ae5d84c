package wharfhinge.engine;

import java.util.function.LongSupplier;

/** Nanoseconds that only advance, whatever the wall clock does. Not for use by several threads. */
final class MonotonicClock {
    /** So that a worker which started within the day before this gateway has a positive time of its start. */
    private static final long DAY = 86_400L * 1_000_000_000L;

    private final LongSupplier nanoTime;
    private final long base;
    private long last;

    MonotonicClock(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.base = nanoTime.getAsLong() - DAY;
        this.last = DAY;
    }

    /** The time now, never less than the last time told. */
    long now() {
        last = Math.max(last, at(nanoTime.getAsLong()));
        return last;
    }

    /** A reading of {@link System#nanoTime} on this clock. */
    long at(long nanos) {
        return nanos - base;
    }

    /** The reading of {@link System#nanoTime} at a time of this clock. */
    long nanos(long at) {
        return at + base;
    }
}
