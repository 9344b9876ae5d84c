package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.FakeDispatcherHost.MS;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What is sent while the source of the endpoint list is not heard; the drain grace is 500 ms. */
class EndpointLeasesTest {
    private final FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(100, false, true));

    private static FakeDispatcherHost withoutQueries() {
        DispatcherSettings s = FakeDispatcherHost.inGroup(100, false, true);
        FunctionLoading f = s.functionLoading();
        FunctionLoading withoutOrders = new FunctionLoading(
                f.idleRetentionNanos(),
                false,
                f.onMiss(),
                f.loadTimeoutNanos(),
                f.loadQuotaPeriodNanos(),
                f.loadQuotaPerRequest(),
                f.loadQuotaBase(),
                f.idlePrice(),
                f.memoryMbByKind(),
                f.reportX0(),
                f.reportX1(),
                f.reportsConcurrency(),
                f.reportsCacheStatus());
        return new FakeDispatcherHost(new DispatcherSettings(
                s.groupSize(),
                s.dispatcherNumber(),
                s.tickNanos(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.discovery(),
                s.weightReporting(),
                s.priorityUnit(),
                s.overQuotaPriorityWeight(),
                s.classes(),
                s.tenants(),
                withoutOrders,
                s.feedback(),
                s.objectiveWeights(),
                s.limits(),
                s.protectionRules(),
                s.prices(),
                s.clientBehavior()));
    }

    private static void confirm(FakeDispatcherHost host) {
        host.dispatcher.onEndpointsConfirmed(host.now, host.now);
    }

    /** Loses the list and lets this much time pass. */
    private static void lose(FakeDispatcherHost host, long millis) {
        host.dispatcher.onEndpointsUnconfirmed(host.now);
        host.advanceMillis(millis);
    }

    private static List<String> queries(FakeDispatcherHost host) {
        return host.actions.stream()
                .filter(action -> action.startsWith("ensureLoaded ") && action.endsWith(" 0"))
                .toList();
    }

    /** Answers the one query in flight. */
    private void answerQuery(Outcome outcome) {
        String[] query = queries(host).get(0).split(" ");
        host.actions.remove(String.join(" ", query));
        host.dispatcher.onLoadCompleted(host.now, query[1], query[2], 1, outcome, MS);
    }

    private String sendUnanswered(String function) {
        host.answersResidencyQueries = false;
        return host.sendRequest(function);
    }

    @Test
    void listThatIsHeard_needsNoQueries() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        host.advanceMillis(2100);
        assertNotNull(host.workerOf(sendUnanswered("f1")));
    }

    @Test
    void listThatIsNotHeardForTooLong_isStaleWithoutBeingTold() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        host.advanceMillis(2200 + 200);
        assertNull(host.workerOf(sendUnanswered("f1")));
        assertEquals(1, queries(host).size());
    }

    /** News from before a pause of this process tells nothing of now, however late it is read. */
    @Test
    void confirmationFromBeforeAPause_doesNotRenew() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        long before = host.now;
        host.advanceMillis(10_000);
        host.dispatcher.onEndpointsConfirmed(host.now, before + MS);
        assertNull(host.workerOf(sendUnanswered("f1")));
        confirm(host);
        assertNotNull(host.workerOf(sendUnanswered("f2")));
    }

    @Test
    void staleList_asksTheWorkerAndSendsOnceItAnswers() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        lose(host, 200);
        String request = sendUnanswered("f1");
        String other = sendUnanswered("f1");
        assertEquals(1, queries(host).size(), "one query for both");
        String worker = queries(host).get(0).split(" ")[1];
        SendCondition query = host.dispatcher.sendCondition(host.now, worker, SendCondition.Purpose.QUERY);
        assertTrue(query.onNewConnection());
        answerQuery(Outcome.SERVED);
        assertEquals(worker, host.workerOf(request));
        assertEquals(worker, host.workerOf(other));
        SendCondition condition = host.dispatcher.sendCondition(host.now, worker, SendCondition.Purpose.WORK);
        assertEquals(host.now + 450 * MS, condition.notAfter());
        assertFalse(condition.onNewConnection());
    }

    @Test
    void servedCall_renewsTheLeaseFromWhenItWasSent() {
        host.listWorkers("b");
        confirm(host);
        String request = sendUnanswered("f1");
        lose(host, 100);
        host.serve(request);
        host.advanceMillis(20);
        assertNotNull(host.workerOf(sendUnanswered("f1")));
        host.advanceMillis(10);
        assertNull(host.workerOf(sendUnanswered("f1")), "130 ms after both the loss and the call");
    }

    @Test
    void workerThatTurnsAway_isLeftAloneForAWhile_andTheRequestGoesElsewhere() {
        for (Outcome outcome : List.of(Outcome.SATURATED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)) {
            EndpointLeasesTest test = new EndpointLeasesTest();
            test.turnAwayOnce(outcome);
        }
    }

    private void turnAwayOnce(Outcome outcome) {
        host.listWorkers("b", "c");
        confirm(host);
        lose(host, 200);
        String request = sendUnanswered("f1");
        String away = queries(host).get(0).split(" ")[1];
        answerQuery(outcome);
        answerQuery(Outcome.SERVED);
        assertFalse(host.workerOf(request).equals(away));
        Set<String> asked = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            host.advanceMillis(50);
            sendUnanswered("f" + i);
            queries(host).forEach(query -> asked.add(query.split(" ")[1]));
            while (!queries(host).isEmpty()) {
                answerQuery(Outcome.SERVED);
            }
        }
        assertFalse(asked.contains(away), "not within its backoff");
    }

    /** The feed is heard again before it has told that the worker drains. */
    @Test
    void revocation_outlastsTheOutage() {
        host.listWorkers("b", "c");
        confirm(host);
        lose(host, 200);
        sendUnanswered("f1");
        String away = queries(host).get(0).split(" ")[1];
        answerQuery(Outcome.SATURATED);
        answerQuery(Outcome.SERVED);
        confirm(host);
        for (int i = 0; i < 20; i++) {
            assertFalse(away.equals(host.workerOf(sendUnanswered("h" + i))));
        }
        host.advanceMillis(600);
        confirm(host);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(host.workerOf(sendUnanswered("k" + i)));
        }
        assertTrue(used.contains(away), "the list is taken at its word again");
    }

    @Test
    void loadOrder_waitsForTheLease() {
        FakeDispatcherHost byOrder = new FakeDispatcherHost(FakeDispatcherHost.withMemory(1000, 100));
        byOrder.answersResidencyQueries = false;
        byOrder.listWorkers("b");
        confirm(byOrder);
        lose(byOrder, 200);
        byOrder.dispatcher.onRequestExpected(
                byOrder.now, new Request("x", null, 2500 * MS, 300, "f1", 0, 4, 500, "c", false, false));
        assertTrue(byOrder.hasRecorded("ensureLoaded b f1 0"));
        assertFalse(byOrder.hasRecorded("ensureLoaded b f1 1"));
        byOrder.dispatcher.onLoadCompleted(byOrder.now, "b", "f1", 0, Outcome.SERVED, MS);
        assertTrue(byOrder.hasRecorded("ensureLoaded b f1 1"));
    }

    /** Refused, then answered: it may be a new process, which gets no more than slow start allows. */
    @Test
    void workerThatRefusedAndAnswersAgain_isWarmedUp() {
        host.listWorkers("b", "c", "d", "e");
        confirm(host);
        for (int i = 0; i < 40; i++) {
            host.advanceMillis(20);
            host.serve(sendUnanswered("f" + i % 3));
            confirm(host);
        }
        lose(host, 200);
        sendUnanswered("f1");
        String worker = queries(host).get(0).split(" ")[1];
        answerQuery(Outcome.CONNECT_FAILED);
        answerQuery(Outcome.SERVED);
        host.advanceMillis(600);
        for (int i = 0; !isWarmingUp(worker) && i < 50; i++) {
            sendUnanswered("g" + i);
            while (!queries(host).isEmpty()) {
                answerQuery(Outcome.SERVED);
            }
        }
        assertTrue(isWarmingUp(worker));
    }

    private boolean isWarmingUp(String worker) {
        return host.dispatcher.workerStates(host.now, "f1").stream()
                .filter(state -> state.worker().equals(worker))
                .anyMatch(WorkerSnapshot::warmingUp);
    }

    @Test
    void withoutQueries_onlyWorkersThatServeStayInUse() {
        FakeDispatcherHost noQueries = withoutQueries();
        noQueries.listWorkers("b", "c", "d", "e");
        confirm(noQueries);
        String served = noQueries.sendRequest("f1");
        String worker = noQueries.workerOf(served);
        lose(noQueries, 300);
        String second = noQueries.sendRequest("f1");
        noQueries.serve(second);
        worker = noQueries.workerOf(second);
        for (int i = 0; i < 10; i++) {
            noQueries.advanceMillis(200);
            String request = noQueries.sendRequest("h" + i);
            assertEquals(worker, noQueries.workerOf(request));
            noQueries.serve(request);
        }
        noQueries.advanceMillis(1000);
        String request = noQueries.sendRequest("f1");
        SendCondition condition = noQueries.dispatcher.sendCondition(
                noQueries.now, noQueries.workerOf(request), SendCondition.Purpose.WORK);
        assertTrue(condition.onNewConnection(), "none has a lease: tried over a new connection");
    }
}
