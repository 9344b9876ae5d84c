package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import org.junit.jupiter.api.Test;

/**
 * Processor time of events where the list has 3,200 workers and 2,048 functions are requested. The thread that decides
 * also ends calls at their deadlines, so no event may take long: 50 ms on half of a core, 25 ms of processor time.
 */
class LargeFleetCostTest {
    private static final long MS = FakeDispatcherHost.MS;
    private static final int WORKERS = 3200;
    private static final long MAX_EVENT_NANOS = 25 * MS;

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

    private void assertTakesAtMost(long maxNanos, Runnable events) {
        long startedAt = threads.getCurrentThreadCpuTime();
        events.run();
        long nanos = threads.getCurrentThreadCpuTime() - startedAt;
        assertTrue(nanos <= maxNanos, nanos / MS + " ms of processor time");
    }

    /** Components whose workers have 100 MB of memory each. */
    private DispatcherComponents components(int workers) {
        DispatcherComponents components = new DispatcherComponents(new DispatcherContext(
                MS, 1, FakeDispatcherHost.withMemory(100, 1), FakeDispatcherHost.loadingOnDemand()));
        for (int i = 0; i < workers; i++) {
            components.registry.update(new Endpoint("b" + i, "a", "k", 0, Availability.UP, 1, 0));
        }
        components.assignment.refresh();
        return components;
    }

    private static void assign(DispatcherComponents components, String function, double memoryMb) {
        components.context.now += MS;
        components.assignment.onRequest(new Request("q", null, 1, memoryMb, function, 1, 4, 300, "c", false, false));
    }

    /** Guards against functions that no memory holds and that are tried on each worker, one after the other. */
    @Test
    void functionsLargerThanAnyWorker_areCheapAndDisplaceNone() {
        DispatcherComponents components = components(WORKERS);
        for (int i = 0; i < WORKERS; i++) {
            assign(components, "f" + i % 10, 10);
        }
        int functions = 300;
        assertTakesAtMost(MAX_EVENT_NANOS, () -> {
            for (int i = 0; i < functions; i++) {
                assign(components, "large" + i, 900_000_000);
            }
        });
        components.registry.markDown(components.registry.active().get(0));
        components.context.now += MS;
        assertTakesAtMost(MAX_EVENT_NANOS, components.assignment::refresh);
        for (int i = 0; i < 10; i++) {
            assertNotNull(components.assignment.assignedWorker("f" + i));
        }
        for (int i = 0; i < functions; i++) {
            assertNull(components.assignment.assignedWorker("large" + i));
        }
    }
}
