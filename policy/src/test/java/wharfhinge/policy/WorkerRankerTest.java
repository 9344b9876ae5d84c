package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.HIT;
import static wharfhinge.policy.Effect.IDEMPOTENT;
import static wharfhinge.policy.Outcome.SERVED;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which worker a request is sent to. */
class WorkerRankerTest {

    @Test
    void repeatedFunction_staysOnItsWorker() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f1");
        host.serve(first);
        for (int i = 0; i < 20; i++) {
            String next = host.sendRequest("f1");
            assertEquals(host.workerOf(first), host.workerOf(next));
            host.serve(next);
            for (int k = 0; k < 9; k++) {
                host.serve(host.sendRequest("g" + k));
            }
        }
    }

    /** Peers send an equal share to the same preferred workers, which a dispatcher's own sends do not show. */
    @Test
    void functionWithTrafficShare_usesThatShareOfWorkers() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h", "i", "j", "k", "l", "m", "x");
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 400; i++) {
            String request = host.sendRequest(i % 8 == 0 ? "hot" : "f" + i % 40);
            host.serve(request);
            if (i % 8 == 0 && i > 80) {
                used.add(host.workerOf(request));
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 5, "workers used " + used.size());
    }

    @Test
    void workerAboveItsLimit_requestsSpillToOthers() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        assertEquals(host.workerOf(host.sendRequest("f1")), host.workerOf(host.sendRequest("f1")));
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            used.add(host.workerOf(host.sendRequest("f1")));
        }
        assertTrue(used.size() > 1);
    }

    @Test
    void copyWithoutFreeSlot_requestGoesElsewhere() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.concurrencyPerCopy = 1;
        host.listWorkers("b", "c", "d", "e");
        assertNotEquals(host.workerOf(host.sendRequest("f1")), host.workerOf(host.sendRequest("f1")));
    }

    @Test
    void dispatchersWithoutSharedState_preferTheSameWorker() {
        for (int i = 0; i < 20; i++) {
            FakeDispatcherHost one =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), 1);
            FakeDispatcherHost other =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), 2);
            one.listWorkers("b", "c", "d", "e");
            other.listWorkers("e", "d", "c", "b");
            assertEquals(one.workerOf(one.sendRequest("f" + i)), other.workerOf(other.sendRequest("f" + i)));
        }
    }

    /** Queues caused by peers show only in response times: the slower of two workers with a copy ranks last for a while. */
    @Test
    void amongEquals_recentlySlowWorkerRanksLast() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.concurrencyPerCopy = 1;
        host.listWorkers("b", "c");
        String one = host.sendRequest("f");
        String two = host.sendRequest("f");
        host.complete(one, 0, SERVED, HIT, 50);
        host.complete(two, 0, SERVED, HIT, 550);
        for (int i = 0; i < 10; i++) {
            host.advanceMillis(100);
            String request = host.sendRequest("f");
            assertEquals(host.workerOf(one), host.workerOf(request));
            host.serve(request);
        }
    }
}
