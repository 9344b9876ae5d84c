package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Availability.DRAINING;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Effect.IDEMPOTENT;
import static wharfhinge.policy.Outcome.ERROR;
import static wharfhinge.policy.Outcome.NOT_LOADED;
import static wharfhinge.policy.Outcome.SERVED;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Load orders: when and on which worker a copy is ordered, and which requests wait for it. */
class LoadOrderTest {

    @Test
    void drainingWorker_getsNoLoadOrder() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.listWorkers("b");
        String request = host.sendRequest("f");
        host.updateWorker("b", DRAINING, 0);
        host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
        assertFalse(host.hasRecorded("ensureLoaded b f 1"));
    }

    @Test
    void miss_ordersOneLoadAndRetriesOnceItCompletes() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.listWorkers("b", "c");
        String request = host.sendRequest("f");
        String preferredWorker = host.workerOf(request);
        host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
        assertTrue(host.hasRecorded("ensureLoaded " + preferredWorker + " f 1"));
        String second = host.sendRequest("f");
        assertEquals(1, host.attemptCount(request));
        assertEquals(0, host.attemptCount(second));
        host.advanceMillis(500);
        host.dispatcher.onLoadCompleted(host.now, preferredWorker, "f", 1, SERVED, 500 * FakeDispatcherHost.MS);
        assertEquals(2, host.attemptCount(request));
        assertEquals(preferredWorker, host.workerOf(second));
    }

    /** The function is loaded on both workers. A retry is faster than a load, and needs no load quota. */
    @Test
    void miss_whileAnotherWorkerHasACopy_isRetriedThereAtOnce() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.concurrencyPerCopy = 1;
        host.listWorkers("b", "c");
        String first = host.sendRequest("f");
        String preferredWorker = host.workerOf(first);
        String other = preferredWorker.equals("b") ? "c" : "b";
        host.serve(first);
        List<String> busy = List.of(
                host.sendRequest("f"),
                host.sendRequest("f"),
                host.sendRequest("f")); // two may share the slot; the third needs a further copy
        assertTrue(host.hasRecorded("ensureLoaded " + other + " f 1"));
        host.dispatcher.onLoadCompleted(host.now, other, "f", 1, SERVED, 500 * FakeDispatcherHost.MS);
        busy.forEach(host::serve);
        String request = host.sendRequest("f");
        String missed = host.workerOf(request);
        host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
        assertEquals(2, host.attemptCount(request));
        assertEquals(missed.equals("b") ? "c" : "b", host.workerOf(request));
        host.serve(request);
        assertEquals(
                host.workerOf(request),
                host.workerOf(host.sendRequest("f")),
                "the copy that missed is not believed to be loaded");
    }

    @Test
    void failedLoad_requestGoesToTheNextWorker() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.listWorkers("b", "c");
        String request = host.sendRequest("f");
        String preferredWorker = host.workerOf(request);
        host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
        host.dispatcher.onLoadCompleted(host.now, preferredWorker, "f", 0, ERROR, 500 * FakeDispatcherHost.MS);
        assertEquals(2, host.attemptCount(request));
        assertNotEquals(preferredWorker, host.workerOf(request));
    }

    @Test
    void loadOrders_stayWithinTheQuota() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.settings(
                IDEMPOTENT, DeduplicationScope.ALL, OnMissBehavior.MISS, false, 5000 * FakeDispatcherHost.MS));
        host.listWorkers("b", "c", "d");
        for (int i = 0; i < 20; i++) {
            host.complete(host.sendRequest("f" + i), 0, NOT_LOADED, UNKNOWN, 1);
        }
        assertEquals(
                3,
                host.actions.stream()
                        .filter(action -> action.startsWith("ensureLoaded "))
                        .count());
    }

    @Test
    void saturatedCopy_keepsTheRequestWhileAnotherIsOrdered() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.listWorkers("b", "c", "d", "e");
        host.concurrencyPerCopy = 1;
        String request = host.sendRequest("f");
        String preferredWorker = host.workerOf(request);
        host.serve(request);
        for (int i = 0; i < 6; i++) {
            assertEquals(preferredWorker, host.workerOf(host.sendRequest("f")));
        }
        assertEquals(
                1,
                host.actions.stream()
                        .filter(action -> action.startsWith("ensureLoaded ") && action.contains(" f 1"))
                        .count());
    }

    /** The request itself is sent to the worker that has the function; the further copy serves later requests. */
    @Test
    void busyWorkersFunction_getsAFurtherCopyWhileNoLoadIsInFlight() {
        for (double reportedLoad : new double[] {2, 3}) { // the mean is 2
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
            host.listWorkers("b", "c", "d", "e");
            String first = host.sendRequest("f");
            String preferredWorker = host.workerOf(first);
            host.serve(first);
            host.dispatcher.onProbeCompleted(
                    host.now, preferredWorker, SERVED, FakeDispatcherHost.MS, Map.of("rif", reportedLoad));
            host.actions.clear();
            assertEquals(preferredWorker, host.workerOf(host.sendRequest("f")));
            assertEquals(
                    reportedLoad > 2,
                    host.actions.stream()
                            .anyMatch(action -> action.startsWith("ensureLoaded ")
                                    && !action.startsWith("ensureLoaded " + preferredWorker)));
            host.actions.clear();
            host.sendRequest("f");
            assertFalse(
                    host.actions.stream().anyMatch(action -> action.startsWith("ensureLoaded ")),
                    "a load is in flight already");
        }
    }

    /** Orders that relieve a busy worker must not delay orders that requests wait for. */
    @Test
    void furtherCopiesForBusyWorkers_areOrderedOneAtATime() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.MISS, false));
        host.listWorkers("b", "c", "d", "e");
        for (String function : List.of("f", "g")) {
            String request = host.sendRequest(function);
            host.serve(request);
            host.dispatcher.onProbeCompleted(
                    host.now, host.workerOf(request), SERVED, FakeDispatcherHost.MS, Map.of("rif", 3.0));
        }
        host.actions.clear();
        host.sendRequest("f");
        host.sendRequest("g");
        assertEquals(
                1,
                host.actions.stream()
                        .filter(action -> action.startsWith("ensureLoaded "))
                        .count());
    }

    /**
     * The function of an expected request is ordered once, within the limit on loads, and the request then goes to the
     * worker that loads it.
     */
    @Test
    void expectedRequest_isPrefetchedOnceAndFollowsItsCopy() {
        for (OnMissBehavior onMiss : OnMissBehavior.values()) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, onMiss, false));
            host.listWorkers("b", "c", "d", "e");
            Request expected =
                    new Request("x", null, 1000 * FakeDispatcherHost.MS, 100, "f", 0, 1, 500, "c", false, false);
            assertFalse(host.dispatcher.isCached(host.now, "f"));
            host.dispatcher.onRequestExpected(host.now, expected);
            host.dispatcher.onRequestExpected(host.now, expected);
            List<String> orders = host.actions.stream()
                    .filter(action -> action.startsWith("ensureLoaded "))
                    .toList();
            assertEquals(1, orders.size(), "ordered once");
            assertFalse(host.dispatcher.isCached(host.now, "f"), "a copy that is being loaded is not cached yet");
            String worker = orders.get(0).split(" ")[1];
            String request = host.sendRequest("f");
            if (onMiss == OnMissBehavior.LOAD) {
                assertEquals(worker, host.workerOf(request), "the request waits on the worker that loads the copy");
            }
            host.dispatcher.onLoadCompleted(host.now, worker, "f", 1, Outcome.SERVED, 500 * FakeDispatcherHost.MS);
            assertTrue(host.dispatcher.isCached(host.now, "f"));
            assertEquals(worker, host.workerOf(request));
        }
    }
}
