package wharfhinge.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Unix time derived from the monotonic clock. The wall clock is read only once, so that a later step of it, forward or back, changes no
 * age measured in this process. Otherwise such a step would make a worker that has just started count as warm, a warm one as new, or
 * a record that was just written as expired.
 *
 * <p>An error of the wall clock at the start persists, as it would without this class. Safe for use by any thread.
 */
public final class SteadyWallClock implements LongSupplier {
    private final LongSupplier nanoTime;
    private final long startMillis;
    private final long startNanos;

    /** Creates a clock from the system's wall clock and monotonic clock. */
    public SteadyWallClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    /** Creates a clock that starts at the current value of {@code wallMillis} and advances with {@code nanoTime}. */
    public SteadyWallClock(LongSupplier wallMillis, LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
        this.startMillis = wallMillis.getAsLong();
        this.startNanos = nanoTime.getAsLong();
    }

    /** Unix time in milliseconds. */
    @Override
    public long getAsLong() {
        return startMillis + TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - startNanos);
    }
}
