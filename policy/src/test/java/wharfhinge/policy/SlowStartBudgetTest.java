package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Availability.UP;
import static wharfhinge.policy.Effect.IDEMPOTENT;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Slow-start budget of workers that are warming up. */
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
        // 100 requests/s on two workers; one warms up at 0.2 to 0.28 of its capacity, and twice that is allowed
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

    /** Each dispatcher applies the budget on its own; together they must stay within the configured one, and use it. */
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
        // 400 requests/s on five workers, one of which warms up at 0.2 to 0.36 of 80/s; twice that is allowed, so 64
        // to 90 in 2 s
        assertTrue(sent >= 10 && sent <= 64, "sent " + sent);
    }

    /**
     * For seconds no dispatcher sends to the worker that warms up, then all do in one window. The tokens that they did not
     * use meanwhile must not add up to more than the budget N of that window and a random variation of 2 * sqrt(N) + 2.
     */
    @Test
    void unusedTokensOfManyDispatchers_doNotAddUp() {
        // Number of dispatchers, and interval between the requests of each in ms.
        for (int[] group : new int[][] {{20, 120}, {30, 250}, {100, 1000}}) {
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
                    // These requests go to another worker, which has the function loaded.
                    for (int i = 0; i < idleMillis / group[1]; i++) {
                        host.serve(host.sendRequest("f"));
                        host.advanceMillis(group[1]);
                    }
                    // These functions are loaded nowhere; some of them prefer x.
                    for (int i = 0; i < 20; i++) {
                        String request = host.sendRequest("g" + i);
                        sent += "x".equals(host.workerOf(request)) ? 1 : 0;
                        host.serve(request);
                        host.advanceMillis(50);
                    }
                }
                double capacity = group[0] * 1000.0 / group[1] / 5
                        / 0.65; // requests/s of each worker; its utilization was 0.65 before
                double budget = 2 * (0.2 + 0.8 * Math.min(1, (idleMillis + 1000) / 10_000.0)) * capacity;
                assertTrue(
                        sent <= budget + 2 * Math.sqrt(budget) + 2,
                        group[0] + " dispatchers after " + idleMillis + " ms: " + sent + " of " + budget);
            }
        }
    }

    /**
     * The budget of a worker that warms up applies to the whole group. For any number of dispatchers, and however
     * unevenly calls reach them, the worker gets in each window at most the N calls that the settings allow at that time,
     * plus random variation. All requests prefer that worker, and the fleet serves at its capacity. With {@code idle}, no
     * dispatcher sends to the worker for seconds, then all do at once.
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
