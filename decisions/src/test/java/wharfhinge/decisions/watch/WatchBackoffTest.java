package wharfhinge.decisions.watch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Asks for a list watch are paced, whatever its source does. */
class WatchBackoffTest {
    private static final long MS = 1_000_000L;

    @Test
    void oneThatLastedIsAskedForAtOnce() {
        assertEquals(0, new WatchBackoff(1).ended(true, 1000 * MS));
    }

    /** A source that is down, one that ends each watch after a byte, one that says nothing for seconds. */
    @Test
    void whatDoesNotLastCostsAFewAsksASecond() {
        long[][] ends = {{0, 0}, {1, MS}, {0, 2200 * MS}};
        for (long[] end : ends) {
            WatchBackoff backoff = new WatchBackoff(7);
            long at = 0;
            int asks = 0;
            for (; at < 10_000 * MS; asks++) {
                at += end[1] + backoff.ended(end[0] == 1, end[1]);
            }
            assertTrue(asks <= 45, asks + " asks in 10 s");
            assertTrue(backoff.ended(false, 0) <= 500 * MS, "a source that is back is asked soon");
        }
    }

    @Test
    void processesWhoseWatchesEndTogetherComeBackApart() {
        WatchBackoff a = new WatchBackoff(1);
        WatchBackoff b = new WatchBackoff(2);
        for (int i = 0; i < 8; i++) {
            assertNotEquals(a.ended(false, 0), b.ended(false, 0));
        }
    }

    @Test
    void oneThatLastedOrAnotherSourceBeginsAnew() {
        WatchBackoff backoff = new WatchBackoff(3);
        for (int i = 0; i < 8; i++) {
            backoff.ended(false, 0);
        }
        assertEquals(0, backoff.ended(true, 5000 * MS));
        assertTrue(backoff.ended(false, 0) <= 20 * MS);
        backoff.ended(false, 0);
        backoff.reset();
        assertTrue(backoff.ended(false, 0) <= 20 * MS);
    }
}
