package wharfhinge.standin;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Notes in the trace when an I/O thread of this process stood still or was behind, so that what its clients and workers
 * noted late is not held against a gateway. Each thread is asked to come round at a fixed pace until the watch is closed.
 */
public final class StandstillWatch implements AutoCloseable {
    private static final long PACE_MS = 20;
    private static final long STANDSTILL_MS = 100;

    private final Trace trace;
    private final List<Future<?>> beats = new ArrayList<>();

    /** A watch over these threads that begins at once. */
    public StandstillWatch(EventExecutorGroup threads, Trace trace) {
        this.trace = trace;
        for (EventExecutor thread : threads) {
            Beat beat = new Beat();
            beats.add(thread.scheduleWithFixedDelay(beat, PACE_MS, PACE_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** Comes round on one thread, and notes how long it was away. */
    private final class Beat implements Runnable {
        private long lastAt = System.nanoTime();

        @Override
        public void run() {
            long now = System.nanoTime();
            long awayMillis = TimeUnit.NANOSECONDS.toMillis(now - lastAt);
            if (awayMillis > STANDSTILL_MS) {
                trace.note("recorder-stalled", "ms", awayMillis);
            }
            lastAt = now;
        }
    }

    @Override
    public void close() {
        beats.forEach(beat -> beat.cancel(false));
    }
}
