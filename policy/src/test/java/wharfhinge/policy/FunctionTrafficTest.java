package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FunctionTrafficTest {
    private final FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
    private final DispatcherContext context = new DispatcherContext(
            0, 1, FakeDispatcherHost.settings(Effect.IDEMPOTENT, OnMissBehavior.LOAD, false), host);
    private final FunctionTraffic traffic = new FunctionTraffic(context);

    private void request(String function, int times) {
        FunctionStats stats = traffic.add(
                new Request("q", null, 2500 * FakeDispatcherHost.MS, 100, function, 0, 1, 500, "c", false, false));
        for (int i = 0; i < times; i++) {
            traffic.countRequest(stats);
        }
    }

    /** Guards the statistics of functions in use against clients that call ever new functions. */
    @Test
    void removal_startsWithTheLeastAndEarliestRequested() {
        request("hot", 3);
        for (int i = 1; i < 2048; i++) {
            assertFalse(traffic.isFull());
            context.now += FakeDispatcherHost.MS;
            request("once" + i, 1);
        }
        List<String> removed = new ArrayList<>();
        traffic.removeLeastRequested(stats -> removed.add(stats.function));
        assertFalse(traffic.isFull());
        assertEquals(513, removed.size());
        assertNull(traffic.find("once513"));
        assertNotNull(traffic.find("once514"));
        assertNotNull(traffic.find("hot"));
    }
}
