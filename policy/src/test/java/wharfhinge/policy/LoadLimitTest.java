package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Outcome.CONNECT_FAILED;
import static wharfhinge.policy.Outcome.RESET;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Limit on a dispatcher's loads in flight where workers load on demand. */
class LoadLimitTest {

    @Test
    void loadsInFlightAtTheirLimit_requestThatNeedsALoadWaits() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 8; i++) {
            host.sendRequest("f" + i);
        }
        String request = host.sendRequest("g");
        assertNull(host.workerOf(request));
        assertTrue(host.workerOf(host.sendRequest("f0")) != null);
        host.advanceMillis(200);
        host.fireTimer("sweep");
        assertNull(host.workerOf(request));
        host.advanceMillis(101);
        host.fireTimer("sweep");
        assertTrue(host.hasRecorded("reject " + request));
    }

    /**
     * Peers keep functions loaded that are not in this dispatcher's cache index. Sends to those cause no loads and must not
     * be limited like loads.
     */
    @Test
    void sendsThatFindACopy_doNotCountAgainstTheLoadLimit() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 60; i++) {
            host.serve(host.sendRequest("f" + i));
            host.advanceMillis(50);
        }
        for (int i = 0; i < 20; i++) {
            assertTrue(host.workerOf(host.sendRequest("g" + i)) != null, "queued " + i);
        }
    }

    /** A broken connection does not show that the copy is gone, though the retry goes to another worker. */
    @Test
    void brokenConnection_copyStaysInTheCacheIndex() {
        for (Outcome outcome : List.of(RESET, CONNECT_FAILED)) {
            FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
            host.listWorkers("b", "c", "d", "e");
            String first = host.sendRequest("f");
            String preferredWorker = host.workerOf(first);
            host.serve(first);
            String broken = host.sendRequest("f");
            host.complete(broken, 0, outcome, UNKNOWN, 1);
            assertNotEquals(preferredWorker, host.workerOf(broken));
            assertTrue(
                    host.dispatcher.workerStates(host.now, "f").stream()
                            .anyMatch(state -> state.worker().equals(preferredWorker) && state.loaded()),
                    outcome.toString());
        }
    }

    /**
     * A broken connection does not show an overloaded package store: the load no longer counts as in flight, and the limit
     * is not decreased.
     */
    @Test
    void brokenConnections_doNotLowerTheLoadLimit() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 12; i++) {
            String request = host.sendRequest("f" + i);
            host.complete(request, 0, RESET, UNKNOWN, 1);
            host.serve(request);
            host.serve(host.sendRequest("f" + i));
            host.advanceMillis(400);
        }
        for (int i = 0; i < 7; i++) {
            assertTrue(host.workerOf(host.sendRequest("g" + i)) != null, "rejected at " + i);
        }
    }

    /** Below the load limit a worker may load further copies; waiting for a free slot would only delay requests. */
    @Test
    void belowTheLoadLimit_noRequestWaitsForASlot() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.concurrencyPerCopy = 1;
        host.listWorkers("b");
        host.serve(host.sendRequest("f1"));
        for (int i = 0; i < 5; i++) {
            assertEquals("b", host.workerOf(host.sendRequest("f1")));
        }
    }

    /** At the load limit, a request sent to a copy without a free slot would make the worker load another copy. */
    @Test
    void atTheLoadLimit_requestWaitsForASlotForAQuarterOfItsObjective() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.concurrencyPerCopy = 1;
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f1");
        host.serve(first);
        String slotHolder = host.sendRequest("f1");
        for (int i = 0; i < 12; i++) {
            host.sendRequest("g" + i); // not loaded anywhere: fills the limit on loads in flight
        }
        String waiting = host.sendRequest("f1");
        assertNull(host.workerOf(waiting));
        host.serve(slotHolder);
        host.fireTimer("sweep");
        assertEquals(host.workerOf(slotHolder), host.workerOf(waiting));
        String late = host.sendRequest("f1");
        host.advanceMillis(160); // over a quarter of the latency objective
        host.fireTimer("sweep");
        assertEquals(host.workerOf(slotHolder), host.workerOf(late));
    }
}
