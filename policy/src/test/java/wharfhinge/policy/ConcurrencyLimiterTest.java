package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.HIT;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Outcome.SATURATED;
import static wharfhinge.policy.Outcome.SERVED;

import org.junit.jupiter.api.Test;

/** How long a worker that was found saturated gets no requests. */
class ConcurrencyLimiterTest {

    /**
     * Where each of many dispatchers sends to a worker seldom, each gets few rejections: every further one has to extend the
     * pause.
     */
    @Test
    void repeatedSaturation_doublesThePauseOfADispatcherThatSendsSeldom() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f");
        String preferredWorker = host.workerOf(first);
        for (int i = 0; i < 3; i++) {
            String request = first;
            host.advanceMillis(i == 0 ? 0 : 700);
            for (int tries = 0; i > 0 && tries < 20 && (tries == 0 || host.workerOf(request) == null); tries++) {
                request = host.sendRequest("f");
            }
            assertEquals(preferredWorker, host.workerOf(request));
            host.complete(request, 0, SATURATED, UNKNOWN, 1);
        }
        host.advanceMillis(700);
        assertNotEquals(preferredWorker, host.workerOf(host.sendRequest("f")));
        host.advanceMillis(6000);
        assertEquals(preferredWorker, host.workerOf(host.sendRequest("f")));
    }

    /**
     * Each of many dispatchers sends seldom: one that finds a worker saturated must pause for longer than its previous
     * interval between sends.
     */
    @Test
    void largeGroup_decreaseDoublesTheOwnSendInterval() {
        assertTrue(millisUntilNextRequestAfterSaturation(300) >= 1800);
        assertTrue(millisUntilNextRequestAfterSaturation(2) < 1000);
    }

    /** Milliseconds until the next request for a worker that got one per second and was then found saturated. */
    private static long millisUntilNextRequestAfterSaturation(int groupSize) {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(groupSize, false, true));
        host.listWorkers("b", "c");
        String first = host.sendRequest("f");
        String preferredWorker = host.workerOf(first);
        host.serve(first);
        for (int i = 0; i < 4; i++) {
            host.advanceMillis(1000);
            String request = host.sendRequest("f");
            assertEquals(preferredWorker, host.workerOf(request));
            host.complete(request, 0, i < 3 ? SERVED : SATURATED, i < 3 ? HIT : UNKNOWN, 100);
            if (i == 3) {
                host.complete(request, 1, SERVED, HIT, 100);
            }
        }
        long waited = 0;
        for (String request = host.sendRequest("f");
                waited < 10_000 && !preferredWorker.equals(host.workerOf(request));
                request = host.sendRequest("f")) {
            host.complete(request, 0, SERVED, HIT, 100);
            host.advanceMillis(100);
            waited += 100;
        }
        return waited;
    }
}
