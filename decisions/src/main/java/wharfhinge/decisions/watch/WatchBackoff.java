package wharfhinge.decisions.watch;

import java.util.Random;

/**
 * Exponential backoff with jitter between attempts to open an endpoint list watch: none after a watch that lasted, else a pause
 * that doubles, each drawn between half of it and the whole. So a watch that breaks again and again, or a source that is down, costs
 * each process a few attempts a second at most, and many processes whose watches ended together do not reconnect together.
 *
 * <p>Pure: durations come in, and it draws from its seed alone. One thread.
 */
public final class WatchBackoff {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long MIN_PAUSE_NANOS = 20 * NANOS_PER_MILLI;
    /** The list may be some seconds old, so a source that is back is to be found soon. */
    private static final long MAX_PAUSE_NANOS = 500 * NANOS_PER_MILLI;
    /** A source that works sends something each second. */
    private static final long LASTED_NANOS = 1000 * NANOS_PER_MILLI;

    private final Random random;
    private long pauseNanos;

    /** A backoff whose first pause is the shortest. */
    public WatchBackoff(long seed) {
        random = new Random(seed);
    }

    /** Starts again with the shortest pause: another source is tried, and the former one's failures do not count. */
    public void reset() {
        pauseNanos = 0;
    }

    /**
     * A watch ended, or could not be opened.
     *
     * @param hasReceivedData     whether any data came on it
     * @param lastedNanos time since the attempt to open it
     * @return the pause before the next attempt, nanoseconds
     */
    public long nextPauseNanos(boolean hasReceivedData, long lastedNanos) {
        if (hasReceivedData && lastedNanos >= LASTED_NANOS) {
            pauseNanos = 0;
            return 0;
        }
        pauseNanos = Math.min(MAX_PAUSE_NANOS, Math.max(MIN_PAUSE_NANOS, 2 * pauseNanos));
        return pauseNanos / 2 + (long) (random.nextDouble() * (pauseNanos - pauseNanos / 2));
    }
}
