package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Processor time of events where the list has 3,200 workers and 2,048 functions are requested. The thread that decides
 * also ends calls at their deadlines, so no event may take long: 50 ms on half of a core, 25 ms of processor time.
 */
class LargeFleetCostTest {
    private static final int WORKERS = 3200;
    private static final int FUNCTIONS = 2048;
    private static final long MAX_EVENT_NANOS = 25 * FakeDispatcherHost.MS;
    private static final int EVENTS = 60;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private FakeDispatcherHost host;

    @BeforeEach
    void requestAllFunctions() {
        host = FakeDispatcherHost.loadingOnDemand();
        host.answersResidencyQueries = false;
        host.listWorkers(IntStream.range(0, WORKERS).mapToObj(i -> "b" + i).toArray(String[]::new));
        for (int i = 0; i < FUNCTIONS; i++) {
            request("f" + i);
        }
    }

    private void request(String function) {
        host.advanceMillis(1);
        host.dispatcher.onClientCancelled(host.now, host.sendRequest(function));
        host.actions.clear();
    }

    private void assertTakesAtMost(long maxNanos, Runnable events) {
        long startedAt = threads.getCurrentThreadCpuTime();
        events.run();
        long nanos = threads.getCurrentThreadCpuTime() - startedAt;
        assertTrue(nanos <= maxNanos, nanos / FakeDispatcherHost.MS + " ms of processor time");
    }

    /** Components whose workers have 100 MB of memory each. */
    private DispatcherComponents components(int workers) {
        DispatcherComponents components = new DispatcherComponents(new DispatcherContext(
                host.now, 1, FakeDispatcherHost.withMemory(100, 1), FakeDispatcherHost.loadingOnDemand()));
        for (int i = 0; i < workers; i++) {
            components.registry.update(new Endpoint("b" + i, "a", "k", 0, Availability.UP, 1, 0));
        }
        components.assignment.refresh();
        return components;
    }

    private static void assign(DispatcherComponents components, String function, double memoryMb) {
        components.context.now += FakeDispatcherHost.MS;
        components.assignment.onRequest(new Request("q", null, 1, memoryMb, function, 1, 4, 300, "c", false, false));
    }

    /** Guards against assignments that are worked out anew for all functions at each change of the list. */
    @Test
    void eachChangeOfTheList_isCheap() {
        assertTakesAtMost(EVENTS * MAX_EVENT_NANOS, () -> {
            for (int i = 0; i < EVENTS; i++) {
                host.updateWorker("b" + i, i % 2 == 0 ? Availability.DRAINING : Availability.REMOVED, 0);
                host.updateWorker("c" + i, Availability.UP, 0);
                request("f" + i);
            }
        });
    }

    /** Guards against functions that no memory holds and that are tried on each worker, one after the other. */
    @Test
    void functionsLargerThanAnyWorker_areCheapAndDisplaceNone() {
        DispatcherComponents components = components(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
            assign(components, "f" + i % 10, 10);
        }
        int entries = components.preferred.entryCount();
        int functions = 300;
        assertTakesAtMost(MAX_EVENT_NANOS, () -> {
            for (int i = 0; i < functions; i++) {
                assign(components, "large" + i, 900_000_000);
            }
        });
        assertEquals(entries, components.preferred.entryCount());
        components.registry.markDown(components.registry.active().get(0));
        components.context.now += FakeDispatcherHost.MS;
        assertTakesAtMost(MAX_EVENT_NANOS, components.assignment::refresh);
        for (int i = 0; i < 10; i++) {
            assertNotNull(components.assignment.assignedWorker("f" + i));
        }
        for (int i = 0; i < functions; i++) {
            assertNull(components.assignment.assignedWorker("large" + i));
        }
    }

    /** Guards against functions that displace one another through the whole fleet, and against orders as long as it. */
    @Test
    void functionsThatFillTheFleet_areCheapAndHaveBoundedOrders() {
        DispatcherComponents components = components(FUNCTIONS / 2);
        assertTakesAtMost(FUNCTIONS * MAX_EVENT_NANOS, () -> {
            for (int i = 0; i < FUNCTIONS; i++) {
                components.context.now += FakeDispatcherHost.MS;
                components.assignment.onRequest(new Request("q", null, 1, 100, "f" + i, 1, 4, 300, "c", false, false));
            }
        });
        assertTrue(components.preferred.entryCount() <= FUNCTIONS * PreferredWorkers.SHORT_HEAD);
        components.registry.markDown(components.registry.active().get(0));
        components.context.now += FakeDispatcherHost.MS;
        assertTakesAtMost(MAX_EVENT_NANOS, components.assignment::refresh);
    }

    /** Guards against the long orders of functions that are requested often. */
    @Test
    void longOrdersOfManyFunctions_areBoundedInTotal() {
        DispatcherComponents components = components(WORKERS);
        for (int i = 0; i < 100; i++) {
            components.preferred.head("f" + i, PreferredWorkers.mix(i), 1 + WORKERS / 2);
            assertTrue(components.preferred.entryCount()
                    <= PreferredWorkers.MAX_LONG_HEAD_ENTRIES + 100 * PreferredWorkers.SHORT_HEAD);
        }
    }
}
