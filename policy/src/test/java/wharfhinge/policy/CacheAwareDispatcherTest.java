package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Availability.DRAINING;
import static wharfhinge.policy.Availability.REMOVED;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Outcome.ERROR;
import static wharfhinge.policy.Outcome.SERVED;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A request's path through the whole dispatcher: queueing, endpoint updates, reproducible decisions. */
class CacheAwareDispatcherTest {
    /** Guards against entries of ever new functions, which are kept for as long as workers keep idle functions. */
    @Test
    void cachedFunctions_areBoundedAndThoseInUseAreKept() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        host.sendRequest("busy");
        for (int i = 0; i < 6_000; i++) {
            host.serve(host.sendRequest("f" + i));
            host.actions.clear();
        }
        assertTrue(host.dispatcher.stateSizes().cachedFunctions() <= 3072, host.dispatcher.stateSizes()::toString);
        assertTrue(host.dispatcher.isCached(host.now, "f5999"));
        assertTrue(host.dispatcher.isCached(host.now, "busy"));
    }

    @Test
    void emptyEndpointList_requestIsQueuedUntilItsDeadline() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers();
        String request = host.sendRequest("f");
        assertNull(host.workerOf(request));
        host.advanceMillis(2492);
        host.fireTimer("end:" + request);
        assertTrue(host.hasRecorded("reject " + request));
        host.listWorkers("b");
        assertNull(host.workerOf(request));
    }

    @Test
    void queuedRequest_isSentToANewWorker() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers();
        String request = host.sendRequest("f");
        host.listWorkers("b");
        host.answerResidencyQueries();
        assertEquals("b", host.workerOf(request));
    }

    @Test
    void drainingRemovedAndUnlistedWorkers_getNoRequests() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        String cachedRequest = host.sendRequest("f");
        String preferredWorker = host.workerOf(cachedRequest);
        host.serve(cachedRequest);
        host.updateWorker(preferredWorker, DRAINING, 0);
        assertNotEquals(preferredWorker, host.workerOf(host.sendRequest("f")));
        host.listWorkers("b");
        for (int i = 0; i < 5; i++) {
            assertEquals("b", host.workerOf(host.sendRequest("g" + i)));
        }
        host.updateWorker("b", REMOVED, 0);
        assertNull(host.workerOf(host.sendRequest("g")));
    }

    @Test
    void sameEventsAndSeed_giveTheSameActions() {
        List<String> first = null;
        for (int run = 0; run < 2; run++) {
            FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
            host.listWorkers("b", "c", "d", "e");
            for (int i = 0; i < 200; i++) {
                String request = host.sendRequest("f" + i % 17);
                if (i % 3 != 0) {
                    host.complete(request, 0, i % 5 == 0 ? ERROR : SERVED, UNKNOWN, 30);
                }
                host.advanceMillis(7);
            }
            if (first == null) {
                first = host.actions;
            } else {
                assertEquals(first, host.actions);
            }
        }
    }
}
