package wharfhinge.standin;

import java.util.concurrent.TimeUnit;

/**
 * Notes in the trace when this process itself stood still, so that what its clients and workers noted late is not held
 * against a gateway. Looks from a thread of its own until it is closed.
 */
public final class StandstillWatch implements AutoCloseable {
    private static final long LOOK_MS = 20;
    private static final long STANDSTILL_MS = 100;

    private final Trace trace;
    private final Thread thread = new Thread(this::watch, "standstill-watch");

    /** A watch that begins at once. */
    public StandstillWatch(Trace trace) {
        this.trace = trace;
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        long looked = System.nanoTime();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            long gapMs = TimeUnit.NANOSECONDS.toMillis(now - looked);
            if (gapMs > STANDSTILL_MS) {
                trace.note("recorder-stalled", "ms", gapMs);
            }
            looked = now;
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
