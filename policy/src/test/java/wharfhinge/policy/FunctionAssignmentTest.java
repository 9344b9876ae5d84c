package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Outcome.NOT_LOADED;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Assignment of functions to workers within their memory. */
class FunctionAssignmentTest {
    /** Guards against statistics of ever new functions, which are kept for 45 s and exceeded the heap. */
    @Test
    void everNewFunctions_areBounded() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        for (int i = 0; i < 10_000; i++) {
            host.sendRequest("f" + i);
            host.actions.clear();
        }
        assertTrue(host.dispatcher.stateSizes().functions() <= 2048, host.dispatcher.stateSizes()::toString);
    }

    /** Rendezvous hashing alone may place all six functions on one worker, which would evict and reload them forever. */
    @Test
    void functionsThatFitTheFleet_areAssignedWithinMemory() {
        FakeDispatcherHost host = fullFleet(1);
        host.advanceMillis(9000); // cache entries expire, the assignments stay
        host.fireTimer("lapse");
        Map<String, Integer> functionsByWorker = new HashMap<>();
        for (int i = 0; i < 6; i++) {
            String request = host.sendRequest("f" + i);
            functionsByWorker.merge(host.workerOf(request), 1, Integer::sum);
            host.serve(request);
        }
        assertEquals(Map.of("b", 2, "c", 2, "d", 2), functionsByWorker);
    }

    /**
     * A burst of requests for one function: those beyond the capacity of its copy are rejected, and no other function
     * loses its only copy.
     */
    @Test
    void fullMemory_noFurtherCopyIsOrdered() {
        FakeDispatcherHost host = fullFleet(1);
        long rejected = 0;
        for (int i = 0; i < 60; i++) {
            rejected += host.hasRecorded("reject " + host.sendRequest("f0")) ? 1 : 0;
        }
        assertEquals(6, loadOrders(host));
        assertTrue(rejected > 30, "rejected " + rejected);
        assertTrue(host.workerOf(host.sendRequest("f1")) != null, "requests for other functions are not rejected");
    }

    /**
     * A function that is believed to be loaded has been evicted: where memory is full of other functions, its load is
     * ordered on its assigned worker only.
     */
    @Test
    void missWhereMemoryIsFull_isLoadedOnTheAssignedWorker() {
        FakeDispatcherHost host = fullFleet(1);
        String request = host.sendRequest("f0");
        String assignedWorker = host.workerOf(request);
        host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
        assertEquals(7, loadOrders(host));
        assertTrue(
                host.actions.stream()
                                .filter(action -> action.startsWith("ensureLoaded " + assignedWorker + " f0"))
                                .count()
                        == 2,
                "loaded twice on its assigned worker");
    }

    /** Dispatchers without shared state derive the same assignments, in whatever order they see the functions. */
    @Test
    void assignments_doNotDependOnTheOrderOfFunctions() {
        Map<String, String> assignedWorkers = new HashMap<>();
        Random order = new Random(5);
        for (int run = 0; run < 20; run++) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.withMemory(300, 3), run);
            host.memoryMb = 100;
            host.listWorkers("b", "c", "d", "e");
            List<String> functions = new ArrayList<>(
                    IntStream.range(0, 12).mapToObj(i -> "f" + i).toList());
            Collections.shuffle(functions, order);
            functions.forEach(f -> host.serve(host.sendRequest(f)));
            host.advanceMillis(9000);
            host.fireTimer("lapse");
            for (String f : functions) {
                String worker = host.workerOf(host.sendRequest(f));
                assertEquals(assignedWorkers.computeIfAbsent(f, x -> worker), worker, f);
            }
        }
    }

    /** Three workers whose memory is full of six copies of 100 MB; functions are loaded by order only. */
    private static FakeDispatcherHost fullFleet(int groupSize) {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.withMemory(200, groupSize));
        host.memoryMb = 100;
        host.listWorkers("b", "c", "d");
        for (int i = 0; i < 6; i++) {
            String request = host.sendRequest("f" + i);
            String worker = host.workerOf(request);
            host.complete(request, 0, NOT_LOADED, UNKNOWN, 1);
            host.dispatcher.onLoadCompleted(host.now, worker, "f" + i, 1, Outcome.SERVED, 100 * FakeDispatcherHost.MS);
            host.serve(request);
        }
        return host;
    }

    private static long loadOrders(FakeDispatcherHost host) {
        return host.actions.stream()
                .filter(action -> action.startsWith("ensureLoaded "))
                .count();
    }
}
