package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Outcome.SERVED;
import static wharfhinge.policy.Outcome.TIMEOUT;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Residency queries before the first send of a request. */
class ResidencyQueriesTest {

    /**
     * A dispatcher that was restarted does not know where functions are loaded: its request goes to the worker that has a
     * copy, which need not be the preferred worker.
     */
    @Test
    void functionNotKnownToBeLoaded_isQueriedAndSentWhereACopyIs() {
        for (String workerWithCopy : List.of("b", "c", "d", "e")) {
            FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
            host.listWorkers("b", "c", "d", "e");
            host.loadedCopies.add(workerWithCopy + " f1");
            assertEquals(workerWithCopy, host.workerOf(host.sendRequest("f1")));
        }
    }

    /**
     * Where memory is short, a copy on another worker than the assigned one is not kept in use: it would evict other
     * functions, whose requests would then cause loads forever.
     */
    @Test
    void copyOffItsAssignedWorker_isNotUsedWhereMemoryIsShort() {
        String assignedWorker = workerOfFourthFunctionOnFullFleet(null);
        for (String workerWithCopy : List.of("b", "c", "d", "e")) {
            assertEquals(assignedWorker, workerOfFourthFunctionOnFullFleet(workerWithCopy));
        }
    }

    @Test
    void firstReplyWithACopy_endsTheWait() {
        FakeDispatcherHost host = withUnansweredQueries(FakeDispatcherHost.loadingOnDemand());
        String request = host.sendRequest("f1");
        assertNull(host.workerOf(request));
        host.dispatcher.onLoadCompleted(host.now, "c", "f1", 0, SERVED, FakeDispatcherHost.MS);
        assertNull(host.workerOf(request));
        host.dispatcher.onLoadCompleted(host.now, "d", "f1", 1, SERVED, FakeDispatcherHost.MS);
        assertEquals("d", host.workerOf(request));
        host.dispatcher.onLoadCompleted(host.now, "b", "f1", 0, TIMEOUT, 40); // late replies are not mistaken for loads
        host.dispatcher.onLoadCompleted(host.now, "e", "f1", 1, SERVED, 40);
        assertEquals(1, host.attemptCount(request));
    }

    @Test
    void noReply_requestGoesToItsPreferredWorker() {
        FakeDispatcherHost withoutReplies = withUnansweredQueries(FakeDispatcherHost.loadingOnDemand());
        String request = withoutReplies.sendRequest("f1");
        withoutReplies.fireTimer("look:" + request);
        FakeDispatcherHost withReplies = FakeDispatcherHost.loadingOnDemand();
        withReplies.listWorkers("b", "c", "d", "e");
        assertEquals(withReplies.workerOf(withReplies.sendRequest("f1")), withoutReplies.workerOf(request));
    }

    /** Otherwise each retry of a rejected request would query the preferred workers again. */
    @Test
    void functionLoadedNowhere_isNotQueriedAgainAtOnce() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        for (int i = 0; i < 12; i++) {
            host.sendRequest("g" + i); // not loaded anywhere: fills the limit on loads in flight
        }
        assertTrue(host.hasRecorded("reject " + host.sendRequest("f1")));
        host.answersResidencyQueries = false;
        host.actions.clear();
        assertTrue(host.hasRecorded("reject " + host.sendRequest("f1")));
        assertFalse(host.actions.stream().anyMatch(action -> action.startsWith("ensureLoaded ")));
        host.advanceMillis(1100);
        host.sendRequest("f1");
        assertTrue(host.actions.stream().anyMatch(action -> action.startsWith("ensureLoaded ")));
    }

    /** Guards against queries that accumulate where clients call ever new functions and workers do not answer. */
    @Test
    void unansweredQueries_areBounded() {
        FakeDispatcherHost host = withUnansweredQueries(FakeDispatcherHost.loadingOnDemand());
        for (int i = 0; i < 1000; i++) {
            String request = host.sendRequest("f" + i);
            host.fireTimer("look:" + request);
        }
        assertTrue(host.dispatcher.stateSizes().queries() <= 256, host.dispatcher.stateSizes()::toString);
        for (String worker : List.of("b", "c", "d", "e")) {
            for (int i = 0; i < 1000; i++) {
                host.dispatcher.onLoadCompleted(host.now, worker, "f" + i, 0, TIMEOUT, 0);
            }
        }
        assertEquals(0, host.dispatcher.stateSizes().queries());
        host.actions.clear();
        host.sendRequest("another");
        assertTrue(host.actions.stream().anyMatch(action -> action.startsWith("ensureLoaded ")));
    }

    @Test
    void largeGroup_sendsNoQueries() {
        FakeDispatcherHost host =
                withUnansweredQueries(new FakeDispatcherHost(FakeDispatcherHost.inGroup(100, false, true)));
        assertTrue(host.workerOf(host.sendRequest("f1")) != null);
        assertFalse(host.actions.stream().anyMatch(action -> action.startsWith("ensureLoaded ")));
    }

    /**
     * The worker that gets the fourth function, if {@code workerWithCopy} has a copy of it (null: no worker has). Each
     * function fills the memory of a worker.
     */
    private static String workerOfFourthFunctionOnFullFleet(String workerWithCopy) {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.memoryMb = 600; // of 1,000 MB on each worker
        host.listWorkers("b", "c", "d", "e");
        for (int i = 0; i < 3; i++) {
            host.sendRequest("g" + i);
        }
        host.loadedCopies.add(workerWithCopy + " f1");
        return host.workerOf(host.sendRequest("f1"));
    }

    private static FakeDispatcherHost withUnansweredQueries(FakeDispatcherHost host) {
        host.answersResidencyQueries = false;
        host.listWorkers("b", "c", "d", "e");
        return host;
    }
}
