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

/** The limit on loads in flight where workers load on demand. */
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

    /** Peers keep functions loaded that are not in the own index: such sends are no loads and are not limited. */
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

    /** A network that resets says nothing of the copy behind it; the retry goes elsewhere all the same. */
    @Test
    void brokenConnection_keepsTheBeliefInTheCopy() {
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
                            .anyMatch(b -> b.worker().equals(preferredWorker) && b.loaded()),
                    outcome.toString());
        }
    }

    /** Nor of the store: loads that broke neither fill the limit on loads in flight nor cut it. */
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

    /** A lone worker may load as many copies as it likes: waiting for slots would only delay requests. */
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

    /** At the load limit: behind a taken slot the worker would load what the limit holds back. */
    @Test
    void atTheLoadLimit_requestWaitsForASlotForAQuarterOfItsObjective() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.concurrencyPerCopy = 1;
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f1");
        host.serve(first);
        String taken = host.sendRequest("f1");
        for (int i = 0; i < 12; i++) {
            host.sendRequest("g" + i); // nobody has them: as many loads are in flight as may be
        }
        String waits = host.sendRequest("f1");
        assertNull(host.workerOf(waits));
        host.serve(taken);
        host.fireTimer("sweep");
        assertEquals(host.workerOf(taken), host.workerOf(waits));
        String late = host.sendRequest("f1");
        host.advanceMillis(160); // over a quarter of the latency objective
        host.fireTimer("sweep");
        assertEquals(host.workerOf(taken), host.workerOf(late));
    }
}
