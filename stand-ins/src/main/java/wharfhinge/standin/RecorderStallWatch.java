package wharfhinge.standin;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Records in the trace when an I/O thread of this process was stalled or overloaded, so that the trace verifier does not blame a gateway
 * for events that the emulated clients and workers recorded late. Runs a periodic task on each thread until closed.
 */
public final class RecorderStallWatch implements AutoCloseable {
    private static final long CHECK_INTERVAL_MS = 20;
    private static final long STALL_THRESHOLD_MS = 100;

    private final Trace trace;
    private final List<Future<?>> checks = new ArrayList<>();

    /** Starts to watch these threads. */
    public RecorderStallWatch(EventExecutorGroup threads, Trace trace) {
        this.trace = trace;
        for (EventExecutor thread : threads) {
            StallCheck check = new StallCheck();
            checks.add(
                    thread.scheduleWithFixedDelay(check, CHECK_INTERVAL_MS, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS));
        }
    }

    /** Periodic task on one thread that records the time since its last run if that exceeds the threshold. */
    private final class StallCheck implements Runnable {
        private long lastRunAt = System.nanoTime();

        @Override
        public void run() {
            long now = System.nanoTime();
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(now - lastRunAt);
            if (elapsedMillis > STALL_THRESHOLD_MS) {
                trace.note("recorder-stalled", "ms", elapsedMillis);
            }
            lastRunAt = now;
        }
    }

    @Override
    public void close() {
        checks.forEach(check -> check.cancel(false));
    }
}
