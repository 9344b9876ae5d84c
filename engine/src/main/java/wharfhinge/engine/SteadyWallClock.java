package wharfhinge.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Unix time that runs on with the monotonic clock: it reads the wall clock once, so that a step of the wall clock, forward or back, changes
 * no age that is measured in this process. Such a step makes a worker that has just started count as warm, or a warm one as new, and a
 * record that was just written as expired.
 *
 * <p>A wall clock that is wrong at the start stays wrong here, as it would without this class. Any thread.
 */
public final class SteadyWallClock implements LongSupplier {
    private final LongSupplier nanoTime;
    private final long startMillis;
    private final long startNanos;

    /** A clock of this process. */
    public SteadyWallClock() {
        this(System::currentTimeMillis, System::nanoTime);
    }

    /** A clock that starts at what {@code wallMillis} says now and runs on with {@code nanoTime}. */
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
