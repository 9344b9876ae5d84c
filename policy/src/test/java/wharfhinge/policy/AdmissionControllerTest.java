package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.HIT;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Effect.IDEMPOTENT;
import static wharfhinge.policy.Outcome.NOT_LOADED;
import static wharfhinge.policy.Outcome.SATURATED;
import static wharfhinge.policy.Outcome.SERVED;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Load shedding, rejections and their Retry-After. */
class AdmissionControllerTest {

    /** Guards against overload that shows in late responses only: a part of the new requests is shed. */
    @Test
    void mostResponsesLate_requestsAreShed() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e");
        int rejected = 0;
        for (int i = 0; i < 60; i++) {
            String request = host.sendRequest("f" + i % 3);
            if (host.workerOf(request) != null) {
                host.complete(request, 0, SERVED, HIT, 700);
            } else {
                rejected += host.hasRecorded("reject " + request) ? 1 : 0;
            }
            host.advanceMillis(20);
        }
        assertTrue(rejected > 10 && rejected < 55, "rejected " + rejected);
    }

    /** A request with little time left is queued for less than the half of the latency objective that others wait. */
    @Test
    void requestNearItsDeadline_isRejectedInTime() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h", "i", "j", "k", "l");
        for (int i = 0; i < 8; i++) {
            host.sendRequest("f" + i);
        }
        host.dispatcher.onRequest(
                host.now,
                new Request("short", null, 200 * FakeDispatcherHost.MS, 300, "g", 0, 4, 500, "c", false, false));
        host.answerResidencyQueries();
        assertNull(host.workerOf("short"));
        host.advanceMillis(101);
        host.fireTimer("sweep");
        assertTrue(host.hasRecorded("reject short"));
    }

    /** A dispatcher in a large group has few recent responses; it must still shed if all of them show saturation. */
    @Test
    void fewResponsesThatAllShowSaturation_shedMostRequests() {
        int rejected = 0;
        for (int seed = 0; seed < 200; seed++) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, false, true), seed);
            host.listWorkers(IntStream.range(0, 40).mapToObj(i -> "b" + i).toArray(String[]::new));
            for (int i = 0, answered = 0; answered < 4; i++) {
                String request = host.sendRequest("f" + i);
                if (host.workerOf(request) != null) {
                    host.complete(request, 0, SATURATED, UNKNOWN, 5, true);
                    answered++;
                }
            }
            rejected += host.hasRecorded("reject " + host.sendRequest("g")) ? 1 : 0;
        }
        assertTrue(rejected > 150 && rejected < 190, "rejected " + rejected);
    }

    /** A rejection has a Retry-After within the configured maximum, or of 0 where the settings do not allow one. */
    @Test
    void rejection_advisesRetryAfterWhereAllowed() {
        for (boolean retryAfterAllowed : List.of(true, false)) {
            FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.inGroup(300, false, retryAfterAllowed));
            host.listWorkers("b", "c");
            for (int i = 0; i < 60 && host.retryAfterNanos < 0; i++) {
                String request = host.sendRequest("f" + i);
                if (host.workerOf(request) != null) {
                    host.complete(request, 0, SATURATED, UNKNOWN, 5, true);
                }
            }
            assertTrue(
                    retryAfterAllowed
                            ? host.retryAfterNanos > 0 && host.retryAfterNanos <= 200 * FakeDispatcherHost.MS
                            : host.retryAfterNanos == 0);
        }
    }

    /** A request that no worker can take is rejected once the time left is shorter than its estimated service time. */
    @Test
    void queuedRequestThatCannotBeServedInTime_isRejectedAtOnce() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b");
        for (int i = 0; i < 50; i++) {
            host.complete(host.sendRequest("f"), 0, SERVED, HIT, 300);
            host.advanceMillis(100);
        }
        host.listWorkers();
        String request = host.sendRequest("f");
        host.advanceMillis(2150);
        host.fireTimer("sweep");
        assertFalse(host.hasRecorded("reject " + request));
        host.advanceMillis(100);
        host.fireTimer("sweep");
        assertTrue(host.hasRecorded("reject " + request));
    }

    /** A request that waits for a pending load order is rejected once the load would end after its deadline. */
    @Test
    void waitForALoadThatEndsPastTheDeadline_isRejectedAtOnce() {
        FakeDispatcherHost host = new FakeDispatcherHost(FakeDispatcherHost.settings(
                IDEMPOTENT, DeduplicationScope.ALL, OnMissBehavior.MISS, true, 5000 * FakeDispatcherHost.MS));
        host.listWorkers("b", "c", "d", "e");
        String ordered = host.sendRequest("f0");
        host.complete(ordered, 0, NOT_LOADED, UNKNOWN, 5);
        String waiting = host.sendRequest("f1");
        host.complete(waiting, 0, NOT_LOADED, UNKNOWN, 5);
        assertEquals(
                1,
                host.actions.stream()
                        .filter(action -> action.startsWith("ensureLoaded "))
                        .count());
        host.advanceMillis(1800);
        host.fireTimer("sweep");
        assertFalse(host.hasRecorded("reject " + waiting));
        host.advanceMillis(100);
        host.fireTimer("sweep");
        assertTrue(host.hasRecorded("reject " + waiting));
        assertFalse(host.hasRecorded("reject " + ordered));
    }
}
