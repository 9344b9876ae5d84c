package wharfhinge.decisions.watch;

import java.util.Random;

/**
 * When to ask for a list watch again that has ended: at once after one that lasted, else after a pause that doubles, each drawn between
 * half of it and the whole. One watch that is broken off again and again, or a source that is down, costs each process a few asks a second
 * at most, and many processes whose watches ended together don't come back together. Pure: told times, draws from its seed alone.
 */
public final class WatchBackoff {
    private static final long MS = 1_000_000L;
    private static final long LEAST_NS = 20 * MS;
    private static final long MOST_NS =
            500 * MS; // a list may be told as late as some seconds, so a source that is back is asked soon
    private static final long LASTED_NS = 1000 * MS; // a source that lives says something each second

    private final Random random;
    private long pauseNanos;

    /** Begins without a pause. */
    public WatchBackoff(long seed) {
        random = new Random(seed);
    }

    /** Another source is asked: what the former one did does not count. */
    public void reset() {
        pauseNanos = 0;
    }

    /**
     * A watch ended, or could not be had.
     *
     * @param brought  whether anything came on it
     * @param lastedNanos from when it was asked for
     * @return how long to wait before it is asked for again, nanoseconds
     */
    public long ended(boolean brought, long lastedNanos) {
        if (brought && lastedNanos >= LASTED_NS) {
            pauseNanos = 0;
            return 0;
        }
        pauseNanos = Math.min(MOST_NS, Math.max(LEAST_NS, 2 * pauseNanos));
        return pauseNanos / 2 + (long) (random.nextDouble() * (pauseNanos - pauseNanos / 2));
    }
}
