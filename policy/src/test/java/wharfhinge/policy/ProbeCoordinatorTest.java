package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Outcome.SATURATED;
import static wharfhinge.policy.Outcome.SERVED;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Probes before the first send of a request, and the use of the load that workers report. */
class ProbeCoordinatorTest {

    /**
     * Guards against many dispatchers that send to the same busy worker, since a dispatcher's own sends do not show how
     * busy it is.
     */
    @Test
    void largeGroup_lessBusyOfTwoProbedWorkersIsTaken() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, true, true));
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f");
        assertNull(host.workerOf(first));
        assertEquals(
                2,
                host.actions.stream()
                        .filter(action -> action.startsWith("probe "))
                        .count());
        String busy = host.actions.stream()
                .filter(action -> action.startsWith("probe "))
                .findFirst()
                .orElseThrow();
        host.answerProbes(busy.substring(6), 10);
        assertNotEquals(busy.substring(6), host.workerOf(first));
        assertEquals(1, host.attemptCount(first));
    }

    @Test
    void amongCopies_leastReportedLoadIsTaken() {
        for (int busy = 0; busy < 2; busy++) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, true, true));
            host.concurrencyPerCopy = 1;
            host.listWorkers("b", "c", "d", "e");
            List<String> occupying = List.of(host.sendRequest("f"), host.sendRequest("f"));
            host.answerProbes("none", 0);
            List<String> copies = occupying.stream().map(host::workerOf).toList();
            assertNotEquals(copies.get(0), copies.get(1));
            occupying.forEach(host::serve);
            host.advanceMillis(400);
            String third = host.sendRequest("f");
            host.answerProbes(copies.get(busy), 1);
            assertEquals(copies.get(1 - busy), host.workerOf(third));
        }
    }

    /** In a group of three, peers make two thirds of the sends; a single dispatcher knows all sends without reports. */
    @Test
    void reportedLoad_countsInSmallGroupsButNotAlone() {
        for (int groupSize : new int[] {1, 3}) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(groupSize, true, true));
            host.listWorkers("b", "c", "d", "e");
            String first = host.sendRequest("f");
            host.serve(first);
            host.dispatcher.onProbeCompleted(
                    host.now, host.workerOf(first), SERVED, FakeDispatcherHost.MS, Map.of("rif", 20.0));
            String next = host.sendRequest("f");
            assertEquals(groupSize == 1, host.workerOf(first).equals(host.workerOf(next)));
        }
    }

    /** The wait for replies to probes is bounded; workers that have not replied by then count as saturated. */
    @Test
    void lateProbeReply_delaysTheRequestByABoundedTime() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, true, true));
        host.listWorkers("b", "c", "d", "e");
        String request = host.sendRequest("f");
        assertTrue(host.hasRecorded("timer look:" + request + " " + 40 * FakeDispatcherHost.MS));
        host.advanceMillis(40);
        host.fireTimer("look:" + request);
        assertEquals(1, host.attemptCount(request));
        host.fireTimer("look:" + request);
        host.answerProbes("none", 0);
        assertEquals(1, host.attemptCount(request));
    }

    @Test
    void smallGroupOrProbesNotAllowed_sendsAtOnce() {
        for (DispatcherSettings settings :
                List.of(FakeDispatcherHost.inGroup(3, true, true), FakeDispatcherHost.inGroup(300, false, true))) {
            FakeDispatcherHost host = new FakeDispatcherHost(settings);
            host.listWorkers("b", "c", "d", "e");
            assertEquals(1, host.attemptCount(host.sendRequest("f")));
            assertFalse(host.actions.stream().anyMatch(action -> action.startsWith("probe ")));
        }
    }

    @Test
    void saturatedFleet_isNotProbed() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, true, true));
        host.listWorkers(IntStream.range(0, 40).mapToObj(i -> "b" + i).toArray(String[]::new));
        for (int i = 0; i < 8; i++) {
            String request = host.sendRequest("f" + i);
            host.answerProbes("none", 0);
            if (host.workerOf(request) != null) {
                host.complete(request, 0, SATURATED, UNKNOWN, 5, true);
            }
        }
        host.actions.clear();
        for (int i = 0; i < 40; i++) {
            host.sendRequest("g" + i);
        }
        assertTrue(host.actions.stream().anyMatch(action -> action.startsWith("attempt ")));
        assertFalse(host.actions.stream().anyMatch(action -> action.startsWith("probe ")));
    }
}
