package wharfhinge.decisions.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks that attempts to open an endpoint list watch are rate limited, whatever its source does. */
class WatchBackoffTest {
    private static final long MILLIS = 1_000_000L;

    @Test
    void watchThatLasted_isReopenedAtOnce() {
        assertEquals(0, new WatchBackoff(1).nextPauseNanos(true, 1000 * MILLIS));
    }

    /** Covers a source that is down, one that ends each watch after a byte, and one that sends nothing for seconds. */
    @Test
    void watchThatDoesNotLast_costsFewAttemptsPerSecond() {
        long[][] ends = {{0, 0}, {1, MILLIS}, {0, 2200 * MILLIS}};
        for (long[] end : ends) {
            WatchBackoff backoff = new WatchBackoff(7);
            long nowNanos = 0;
            int attempts = 0;
            for (; nowNanos < 10_000 * MILLIS; attempts++) {
                nowNanos += end[1] + backoff.nextPauseNanos(end[0] == 1, end[1]);
            }
            assertTrue(attempts <= 45, attempts + " attempts in 10 s");
            assertTrue(backoff.nextPauseNanos(false, 0) <= 500 * MILLIS, "a source that is back is found soon");
        }
    }

    @Test
    void processesWhoseWatchesEndTogether_reconnectApart() {
        WatchBackoff first = new WatchBackoff(1);
        WatchBackoff second = new WatchBackoff(2);
        for (int i = 0; i < 8; i++) {
            assertNotEquals(first.nextPauseNanos(false, 0), second.nextPauseNanos(false, 0));
        }
    }

    @Test
    void lastingWatchOrReset_restartsAtShortestPause() {
        WatchBackoff backoff = new WatchBackoff(3);
        for (int i = 0; i < 8; i++) {
            backoff.nextPauseNanos(false, 0);
        }
        assertEquals(0, backoff.nextPauseNanos(true, 5000 * MILLIS));
        assertTrue(backoff.nextPauseNanos(false, 0) <= 20 * MILLIS);
        backoff.nextPauseNanos(false, 0);
        backoff.reset();
        assertTrue(backoff.nextPauseNanos(false, 0) <= 20 * MILLIS);
    }
}
