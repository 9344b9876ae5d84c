package wharfhinge.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharfhinge.policy.CacheStatus.UNKNOWN;
import static wharfhinge.policy.Effect.AT_MOST_ONCE;
import static wharfhinge.policy.Effect.DEDUPLICATED;
import static wharfhinge.policy.Effect.IDEMPOTENT;
import static wharfhinge.policy.Outcome.CONNECT_FAILED;
import static wharfhinge.policy.Outcome.ERROR;
import static wharfhinge.policy.Outcome.RESET;
import static wharfhinge.policy.Outcome.SATURATED;
import static wharfhinge.policy.Outcome.TIMEOUT;

import java.util.List;
import org.junit.jupiter.api.Test;

/** When a request may be retried, hedged or rejected, given the effect of executing it twice. */
class IdempotencyGuardTest {

    @Test
    void nonIdempotentRequestThatMayHaveRun_isNeitherRetriedNorRejected() {
        for (Outcome outcome : List.of(ERROR, RESET, TIMEOUT)) {
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
            host.listWorkers("b", "c");
            String request = host.sendRequest("f");
            host.complete(request, 0, outcome, UNKNOWN, 10);
            assertEquals(1, host.attemptCount(request), outcome.name());
            assertTrue(host.hasRecorded("fail " + request), outcome.name());
            assertFalse(host.hasRecorded("reject " + request), outcome.name());
        }
    }

    @Test
    void nonIdempotentRequestThatNeverRan_isRetried() {
        for (Outcome outcome : List.of(SATURATED, CONNECT_FAILED)) {
            FakeDispatcherHost host =
                    new FakeDispatcherHost(FakeDispatcherHost.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
            host.listWorkers("b", "c");
            String request = host.sendRequest("f");
            host.complete(request, 0, outcome, UNKNOWN, 10);
            assertEquals(2, host.attemptCount(request), outcome.name());
        }
    }

    @Test
    void errorAfterFailedLoad_doesNotProveThatNothingRan() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(AT_MOST_ONCE, OnMissBehavior.LOAD, true));
        host.listWorkers("b", "c");
        String request = host.sendRequest("f");
        host.complete(request, 0, ERROR, CacheStatus.LOAD_FAILED, 10);
        assertTrue(host.hasRecorded("fail " + request));
    }

    @Test
    void deduplicatedRequest_isRetriedWithinItsZoneAndWindow() {
        DispatcherSettings zone =
                FakeDispatcherHost.settings(DEDUPLICATED, DeduplicationScope.ZONE, OnMissBehavior.LOAD, true, 0);
        FakeDispatcherHost host = new FakeDispatcherHost(zone);
        host.listWorkers("b", "c", "x", "y");
        String request = host.sendRequest("f");
        String first = host.workerOf(request);
        host.complete(request, 0, RESET, UNKNOWN, 10);
        assertEquals(first.charAt(0) < 'n', host.workerOf(request).charAt(0) < 'n');
        assertEquals(2, host.attemptCount(request));
        host.advanceMillis(600);
        host.complete(request, 1, RESET, UNKNOWN, 10);
        assertEquals(2, host.attemptCount(request));
        host.advanceMillis(1892);
        host.fireTimer("end:" + request);
        assertTrue(host.hasRecorded("fail " + request));
        assertFalse(host.hasRecorded("reject " + request));
    }

    @Test
    void hedgingNotAllowed_overdueAttemptIsCancelledBeforeARetry() {
        FakeDispatcherHost host =
                new FakeDispatcherHost(FakeDispatcherHost.settings(IDEMPOTENT, OnMissBehavior.LOAD, false));
        host.listWorkers("b", "c");
        String request = host.sendRequest("f");
        host.advanceMillis(1600);
        host.fireTimer("0:" + request);
        assertEquals(1, host.attemptCount(request));
        assertTrue(host.hasRecorded("cancel " + request + " 0"));
        host.complete(request, 0, Outcome.CANCELLED, UNKNOWN, 2000);
        assertEquals(2, host.attemptCount(request));
    }

    @Test
    void attempts_stayWithinTheConfiguredMaximum() {
        FakeDispatcherHost host = FakeDispatcherHost.loadingOnDemand();
        host.listWorkers("b", "c", "d", "e", "g", "h");
        String request = host.sendRequest("f");
        for (int i = 0; i < 4; i++) {
            host.complete(request, i, SATURATED, UNKNOWN, 1);
        }
        assertEquals(4, host.attemptCount(request));
        assertTrue(host.hasRecorded("reject " + request));
    }
}
