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

/**
 * Leases of workers: what is sent to them while the source of the endpoint list does not confirm it. The drain grace
 * period is 500 ms.
 */
class EndpointLeasesTest {
    private final FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(100, false, true));

    private static FakeDispatcherHost withoutQueries() {
        DispatcherSettings base = FakeDispatcherHost.inGroup(100, false, true);
        FunctionLoading loading = base.functionLoading();
        FunctionLoading loadingWithoutOrders = new FunctionLoading(
                loading.idleRetentionNanos(),
                false,
                loading.onMiss(),
                loading.loadTimeoutNanos(),
                loading.loadQuotaPeriodNanos(),
                loading.loadQuotaPerRequest(),
                loading.loadQuotaBase(),
                loading.idlePrice(),
                loading.memoryMbByKind(),
                loading.reportX0(),
                loading.reportX1(),
                loading.reportsConcurrency(),
                loading.reportsCacheStatus());
        return new FakeDispatcherHost(new DispatcherSettings(
                base.groupSize(),
                base.dispatcherNumber(),
                base.tickNanos(),
                base.zone(),
                base.zones(),
                base.kinds(),
                base.discovery(),
                base.weightReporting(),
                base.priorityUnit(),
                base.overQuotaPriorityWeight(),
                base.classes(),
                base.tenants(),
                loadingWithoutOrders,
                base.feedback(),
                base.objectiveWeights(),
                base.limits(),
                base.protectionRules(),
                base.prices(),
                base.clientBehavior()));
    }

    private static void confirm(FakeDispatcherHost host) {
        host.dispatcher.onEndpointsConfirmed(host.now, host.now);
    }

    /** The source of the list has to be contacted again; then time passes. */
    private static void loseConfirmation(FakeDispatcherHost host, long millis) {
        host.dispatcher.onEndpointsUnconfirmed(host.now);
        host.advanceMillis(millis);
    }

    private static List<String> queries(FakeDispatcherHost host) {
        return host.actions.stream()
                .filter(action -> action.startsWith("ensureLoaded ") && action.endsWith(" 0"))
                .toList();
    }

    /** Answers the first query in flight. */
    private void answerQuery(Outcome outcome) {
        String[] query = queries(host).get(0).split(" ");
        host.actions.remove(String.join(" ", query));
        host.dispatcher.onLoadCompleted(host.now, query[1], query[2], 1, outcome, MS);
    }

    private String sendWithoutQueryReplies(String function) {
        host.answersResidencyQueries = false;
        return host.sendRequest(function);
    }

    @Test
    void confirmedList_needsNoQueries() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        host.advanceMillis(2100);
        assertNotNull(host.workerOf(sendWithoutQueryReplies("f1")));
    }

    @Test
    void listUnconfirmedForTooLong_isStaleWithoutNotice() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        host.advanceMillis(2200 + 200);
        assertNull(host.workerOf(sendWithoutQueryReplies("f1")));
        assertEquals(1, queries(host).size());
    }

    /** After a stall of this process, a confirmation that was sent before the stall must not count as current. */
    @Test
    void confirmationFromBeforeAStall_doesNotRenewLeases() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        long beforeStall = host.now;
        host.advanceMillis(10_000);
        host.dispatcher.onEndpointsConfirmed(host.now, beforeStall + MS);
        assertNull(host.workerOf(sendWithoutQueryReplies("f1")));
        confirm(host);
        assertNotNull(host.workerOf(sendWithoutQueryReplies("f2")));
    }

    @Test
    void staleList_queriesTheWorkerAndSendsOnceItAnswers() {
        host.listWorkers("b", "c", "d");
        confirm(host);
        loseConfirmation(host, 200);
        String request = sendWithoutQueryReplies("f1");
        String other = sendWithoutQueryReplies("f1");
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
        String request = sendWithoutQueryReplies("f1");
        loseConfirmation(host, 100);
        host.serve(request);
        host.advanceMillis(20);
        assertNotNull(host.workerOf(sendWithoutQueryReplies("f1")));
        host.advanceMillis(10);
        assertNull(
                host.workerOf(sendWithoutQueryReplies("f1")),
                "130 ms after the list was last current and the call was sent");
    }

    @Test
    void workerThatRejects_isAvoidedForAWhileAndTheRequestGoesElsewhere() {
        for (Outcome outcome : List.of(Outcome.SATURATED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)) {
            EndpointLeasesTest test = new EndpointLeasesTest();
            test.rejectOnce(outcome);
        }
    }

    private void rejectOnce(Outcome outcome) {
        host.listWorkers("b", "c");
        confirm(host);
        loseConfirmation(host, 200);
        String request = sendWithoutQueryReplies("f1");
        String rejecting = queries(host).get(0).split(" ")[1];
        answerQuery(outcome);
        answerQuery(Outcome.SERVED);
        assertFalse(host.workerOf(request).equals(rejecting));
        Set<String> queried = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            host.advanceMillis(50);
            sendWithoutQueryReplies("f" + i);
            queries(host).forEach(query -> queried.add(query.split(" ")[1]));
            while (!queries(host).isEmpty()) {
                answerQuery(Outcome.SERVED);
            }
        }
        assertFalse(queried.contains(rejecting), "queried during its revocation");
    }

    /** The source confirms the list again before it has reported that the worker drains. */
    @Test
    void revocation_outlastsTheUnconfirmedPeriod() {
        host.listWorkers("b", "c");
        confirm(host);
        loseConfirmation(host, 200);
        sendWithoutQueryReplies("f1");
        String rejecting = queries(host).get(0).split(" ")[1];
        answerQuery(Outcome.SATURATED);
        answerQuery(Outcome.SERVED);
        confirm(host);
        for (int i = 0; i < 20; i++) {
            assertFalse(rejecting.equals(host.workerOf(sendWithoutQueryReplies("h" + i))));
        }
        host.advanceMillis(600);
        confirm(host);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            used.add(host.workerOf(sendWithoutQueryReplies("k" + i)));
        }
        assertTrue(used.contains(rejecting), "the confirmed list is trusted again");
    }

    @Test
    void loadOrder_waitsForTheLease() {
        FakeDispatcherHost hostWithOrders = new FakeDispatcherHost(FakeDispatcherHost.withMemory(1000, 100));
        hostWithOrders.answersResidencyQueries = false;
        hostWithOrders.listWorkers("b");
        confirm(hostWithOrders);
        loseConfirmation(hostWithOrders, 200);
        hostWithOrders.dispatcher.onRequestExpected(
                hostWithOrders.now, new Request("x", null, 2500 * MS, 300, "f1", 0, 4, 500, "c", false, false));
        assertTrue(hostWithOrders.hasRecorded("ensureLoaded b f1 0"));
        assertFalse(hostWithOrders.hasRecorded("ensureLoaded b f1 1"));
        hostWithOrders.dispatcher.onLoadCompleted(hostWithOrders.now, "b", "f1", 0, Outcome.SERVED, MS);
        assertTrue(hostWithOrders.hasRecorded("ensureLoaded b f1 1"));
    }

    /** A worker that refused a connection and answers again may be a new process, which must get a slow start. */
    @Test
    void workerThatRefusedAndAnswersAgain_isWarmedUp() {
        host.listWorkers("b", "c", "d", "e");
        confirm(host);
        for (int i = 0; i < 40; i++) {
            host.advanceMillis(20);
            host.serve(sendWithoutQueryReplies("f" + i % 3));
            confirm(host);
        }
        loseConfirmation(host, 200);
        sendWithoutQueryReplies("f1");
        String worker = queries(host).get(0).split(" ")[1];
        answerQuery(Outcome.CONNECT_FAILED);
        answerQuery(Outcome.SERVED);
        host.advanceMillis(600);
        for (int i = 0; !isWarmingUp(worker) && i < 50; i++) {
            sendWithoutQueryReplies("g" + i);
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
        loseConfirmation(noQueries, 300);
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
        assertTrue(condition.onNewConnection(), "no worker has a lease: one is tried over a new connection");
    }
}
