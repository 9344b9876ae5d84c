package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.Outcome.SERVED;
import static wharfhinge.policy.Outcome.TIMEOUT;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Queries of workers for a copy before a first send. */
class ResidencyQueriesTest {

    /**
     * One that starts anew knows nothing: the request goes where a peer's copy is, which need not be its preferred
     * worker.
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
     * Where memory is short a copy that is not on its assigned worker is not kept in use: it evicts others, whose
     * requests load for ever.
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
        host.dispatcher.onLoadCompleted(host.now, "b", "f1", 0, TIMEOUT, 40); // late replies tell of no load
        host.dispatcher.onLoadCompleted(host.now, "e", "f1", 1, SERVED, 40);
        assertEquals(1, host.attemptCount(request));
    }

    @Test
    void noReply_requestGoesToItsPreferredWorker() {
        FakeDispatcherHost asks = withUnansweredQueries(FakeDispatcherHost.loadingOnDemand());
        String request = asks.sendRequest("f1");
        asks.fireTimer("look:" + request);
        FakeDispatcherHost none = FakeDispatcherHost.loadingOnDemand();
        none.listWorkers("b", "c", "d", "e");
        assertEquals(none.workerOf(none.sendRequest("f1")), asks.workerOf(request));
    }

    /** Clients that repeat what was rejected would have the preferred workers queried again each time. */
    @Test
    void functionThatNobodyHas_isNotQueriedAgainAtOnce() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        for (int i = 0; i < 12; i++) {
            host.sendRequest("g" + i); // nobody has them: as many loads are in flight as may be
        }
        assertTrue(host.hasRecorded("reject " + host.sendRequest("f1")));
        host.answersResidencyQueries = false;
        host.actions.clear();
        assertTrue(host.hasRecorded("reject " + host.sendRequest("f1")));
        assertFalse(host.actions.stream().anyMatch(l -> l.startsWith("ensureLoaded ")));
        host.advanceMillis(1100);
        host.sendRequest("f1");
        assertTrue(host.actions.stream().anyMatch(l -> l.startsWith("ensureLoaded ")));
    }

    @Test
    void largeGroup_sendsNoQueries() {
        FakeDispatcherHost host =
                withUnansweredQueries(new FakeDispatcherHost(FakeDispatcherHost.inGroup(100, false, true)));
        assertTrue(host.workerOf(host.sendRequest("f1")) != null);
        assertFalse(host.actions.stream().anyMatch(l -> l.startsWith("ensureLoaded ")));
    }

    /** Where the fourth function goes, each of which fills a worker, if that worker has a copy of it. */
    private static String workerOfFourthFunctionOnFullFleet(String workerWithCopy) {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.memoryMb = 600; // of 1,000 on each
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
