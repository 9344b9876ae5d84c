package wharfhinge.decisions.watch;

import java.util.Random;

/**
 * Exponential backoff with jitter between attempts to open an endpoint list watch. A watch that delivered data and lasted a second
 * or more is reopened without a pause. Otherwise the pause doubles with each attempt up to a maximum, and the actual pause is drawn
 * between half of it and the whole. This limits each process to a few attempts per second if watches break repeatedly or the source
 * is down, and keeps processes whose watches ended together from reconnecting together.
 *
 * <p>Deterministic: durations are passed in, and the jitter depends on the seed alone. Not thread-safe.
 */
public final class WatchBackoff {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_PAUSE_NANOS = 20 * NANOS_PER_MILLI;
    /** Short, so that a source that is back is found soon: the endpoint list may already be some seconds old. */
    private static final long MAX_PAUSE_NANOS = 500 * NANOS_PER_MILLI;
    /** Minimum duration of a watch that counts as working: a working source sends data every second. */
    private static final long MIN_WORKING_WATCH_NANOS = 1000 * NANOS_PER_MILLI;

    private final Random random;
    private long pauseNanos;

    /** Creates a backoff that starts with the shortest pause. */
    public WatchBackoff(long seed) {
        random = new Random(seed);
    }

    /** Restarts with the shortest pause. Used when another source is tried: failures of the former one do not count. */
    public void reset() {
        pauseNanos = 0;
    }

    /**
     * Returns the pause before the next attempt after a watch ended or could not be opened.
     *
     * @param hasReceivedData whether any data was received on the watch
     * @param lastedNanos     time since the attempt to open the watch
     * @return the pause in nanoseconds
     */
    public long nextPauseNanos(boolean hasReceivedData, long lastedNanos) {
        if (hasReceivedData && lastedNanos >= MIN_WORKING_WATCH_NANOS) {
            pauseNanos = 0;
            return 0;
        }
        pauseNanos = Math.min(MAX_PAUSE_NANOS, Math.max(MIN_PAUSE_NANOS, 2 * pauseNanos));
        return pauseNanos / 2 + (long) (random.nextDouble() * (pauseNanos - pauseNanos / 2));
    }
}
