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

/** Probes and reported load. */
class ProbeCoordinatorTest {

    /** Many dispatchers meet on a busy worker, which own sends do not show: two are probed before a send. */
    @Test
    void largeGroup_lessBusyOfTwoProbedWorkersIsTaken() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, true, true));
        host.listWorkers("b", "c", "d", "e");
        String first = host.sendRequest("f");
        assertNull(host.workerOf(first));
        assertEquals(
                2, host.actions.stream().filter(l -> l.startsWith("probe ")).count());
        String busy = host.actions.stream()
                .filter(l -> l.startsWith("probe "))
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
            List<String> both = List.of(host.sendRequest("f"), host.sendRequest("f"));
            host.answerProbes("none", 0);
            List<String> copies = both.stream().map(host::workerOf).toList();
            assertNotEquals(copies.get(0), copies.get(1));
            both.forEach(host::serve);
            host.advanceMillis(400);
            String third = host.sendRequest("f");
            host.answerProbes(copies.get(busy), 1);
            assertEquals(copies.get(1 - busy), host.workerOf(third));
        }
    }

    /** Two of three requests there are peers'; one that is alone sees all it sends and needs no report. */
    @Test
    void reportedLoad_countsInSmallGroupsButNotAlone() {
        for (int group : new int[] {1, 3}) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(group, true, true));
            host.listWorkers("b", "c", "d", "e");
            String first = host.sendRequest("f");
            host.serve(first);
            host.dispatcher.onProbeCompleted(
                    host.now, host.workerOf(first), SERVED, FakeDispatcherHost.MS, Map.of("rif", 20.0));
            String next = host.sendRequest("f");
            assertEquals(group == 1, host.workerOf(first).equals(host.workerOf(next)));
        }
    }

    /** A wait for a probe may still serve the request; it is bounded, and a late probe counts as saturated. */
    @Test
    void lateProbe_doesNotDelayARequest() {
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
    void smallGroupOrNoProbesAllowed_sendsAtOnce() {
        for (DispatcherSettings s :
                List.of(FakeDispatcherHost.inGroup(3, true, true), FakeDispatcherHost.inGroup(300, false, true))) {
            FakeDispatcherHost host = new FakeDispatcherHost(s);
            host.listWorkers("b", "c", "d", "e");
            assertEquals(1, host.attemptCount(host.sendRequest("f")));
            assertFalse(host.actions.stream().anyMatch(l -> l.startsWith("probe ")));
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
        assertTrue(host.actions.stream().anyMatch(l -> l.startsWith("attempt ")));
        assertFalse(host.actions.stream().anyMatch(l -> l.startsWith("probe ")));
    }
}
