package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Availability.UP;
import static wharfhinge.policy.Effect.IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The budget of workers that are warming up. */
class SlowStartBudgetTest {

    @Test
    void restartedWorker_warmsUpWithoutCachedFunctions() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c");
        for (int i = 0; i < 100; i++) {
            host.serve(host.sendRequest("f" + i % 10));
            host.advanceMillis(10);
        }
        host.updateWorker("b", UP, host.now);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            String request = host.sendRequest("g" + i);
            sent += "b".equals(host.workerOf(request)) ? 1 : 0;
            host.serve(request);
            host.advanceMillis(10);
        }
        // 100 a second on two workers: one that warms up at 0.2 to 0.28 of its capacity, twice that allowed
        assertTrue(sent > 0 && sent <= 17, "sent " + sent);
    }

    @Test
    void unansweredRequests_doNotEnlargeTheBudget() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b");
        host.updateWorker("c", UP, host.now);
        int sent = 0;
        for (int i = 0; i < 200; i++) {
            sent += "c".equals(host.workerOf(host.sendRequest("f"))) ? 1 : 0;
            host.advanceMillis(10);
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    /** Each dispatcher keeps the budget alone: together they stay within the configured one, and use it. */
    @Test
    void hundredDispatchers_togetherStayWithinTheBudget() {
        int sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.LOAD, true), seed);
            host.listWorkers("b", "c", "d", "e");
            for (int i = 0; i < 20; i++) {
                host.serve(host.sendRequest("f" + i));
                host.advanceMillis(250);
            }
            host.updateWorker("x", UP, host.now);
            for (int i = 0; i < 8; i++) {
                String request = host.sendRequest("g" + (seed * 8 + i));
                sent += "x".equals(host.workerOf(request)) ? 1 : 0;
                host.serve(request);
                host.advanceMillis(250);
            }
        }
        // 400 a second on five workers, warming up at 0.2 to 0.36 of 80, twice that allowed in 2 s: 64 to 90
        assertTrue(sent >= 10 && sent <= 64, "sent " + sent);
    }

    /**
     * Nobody needs the worker that warms up for seconds, then all do in one window: what each could have sent it
     * meanwhile may not add up beyond the budget N of that window and what chance adds, 2 x root of N + 2.
     */
    @Test
    void unusedTokensOfManyDispatchers_doNotAddUp() {
        for (int[] group :
                new int[][] {{20, 120}, {30, 250}, {100, 1000}}) { // dispatchers, pause between the requests of one, ms
            for (int idleMillis = 2000; idleMillis <= 8000; idleMillis += 2000) {
                int sent = 0;
                for (int seed = 0; seed < group[0]; seed++) {
                    FakeDispatcherHost host =
                            new FakeDispatcherHost(FakeDispatcherHost.inGroup(group[0], false, true), seed);
                    host.listWorkers("b", "c", "d", "e");
                    for (int i = 0; i < 8000 / group[1]; i++) {
                        host.serve(host.sendRequest("f"));
                        host.advanceMillis(group[1]);
                    }
                    host.updateWorker("x", UP, host.now);
                    for (int i = 0; i < idleMillis / group[1]; i++) { // what is loaded elsewhere goes there
                        host.serve(host.sendRequest("f"));
                        host.advanceMillis(group[1]);
                    }
                    for (int i = 0; i < 20; i++) { // what is loaded nowhere; some of it prefers x
                        String request = host.sendRequest("g" + i);
                        sent += "x".equals(host.workerOf(request)) ? 1 : 0;
                        host.serve(request);
                        host.advanceMillis(50);
                    }
                }
                double capacity = group[0] * 1000.0 / group[1] / 5
                        / 0.65; // a second, of each worker: before, they were busy to 0.65
                double n = 2 * (0.2 + 0.8 * Math.min(1, (idleMillis + 1000) / 10_000.0)) * capacity;
                assertTrue(
                        sent <= n + 2 * Math.sqrt(n) + 2,
                        group[0] + " dispatchers after " + idleMillis + " ms: " + sent + " of " + n);
            }
        }
    }

    /**
     * The budget of a worker that warms up is of the whole group: whatever the number of dispatchers and however
     * unevenly calls reach them, each window gets at most the N calls that the settings allow it then, and what chance
     * adds. Every request prefers that worker, and the fleet serves at its capacity; {@code idle}: nobody sends to it
     * for seconds, then all do at once.
     */
    @ParameterizedTest
    @CsvSource({
        "1,3,false",
        "1,29,false",
        "1,30,false",
        "1,200,false",
        "3,3,false",
        "3,29,false",
        "3,30,false",
        "3,200,false",
        "30,3,false",
        "30,29,false",
        "30,30,false",
        "30,200,false",
        "560,3,false",
        "560,29,false",
        "560,30,false",
        "560,200,false",
        "1,3,true",
        "1,29,true",
        "1,30,true",
        "1,200,true",
        "3,3,true",
        "3,29,true",
        "3,30,true",
        "3,200,true",
        "30,3,true",
        "30,29,true",
        "30,30,true",
        "30,200,true",
        "560,3,true",
        "560,29,true",
        "560,30,true",
        "560,200,true"
    })
    void budget_boundsTheSumOfAllDispatchers(int dispatchers, int allowed, boolean idle) {
        SlowStartGroup.assertWithinBudget(dispatchers, allowed, idle, 1, idle ? 0 : 1.5, 1);
        SlowStartGroup.assertWithinBudget(dispatchers, allowed, idle, 3, idle ? 1.5 : 0, 2);
    }
}
