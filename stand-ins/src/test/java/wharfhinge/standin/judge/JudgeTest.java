package wharfhinge.standin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Verifies handwritten traces, each with one violation or none. */
class JudgeTest {
    private static final long NANOS_PER_MS = 1_000_000L;
    private final List<String> trace = new ArrayList<>();

    private void event(long ms, String word, Object... pairs) {
        StringBuilder line =
                new StringBuilder().append(ms * NANOS_PER_MS).append('\t').append(word);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append('\t').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        trace.add(line.toString());
    }

    private void offer(long ms, String call, String type) {
        event(ms, "offer", "call", call, "gw", "g", "class", type, "fn", "f", "deadline_ms", 1000, "former", "-");
        event(ms, "sent", "call", call, "gw", "g");
    }

    private void answer(long ms, String call, String kind) {
        event(ms, "answer", "call", call, "gw", "g", "status", 200, "kind", kind, "own", true, "worker", "w");
    }

    private void run(long ms, String call, int attempt) {
        event(
                ms, "recv", "worker", "w", "call", call, "attempt", attempt, "gw", "g", "class", "x", "fn", "f",
                "work_us", 10_000);
        event(ms, "run", "worker", "w", "call", call, "attempt", attempt);
        event(ms + 10, "reply", "worker", "w", "call", call, "attempt", attempt, "code", "served");
    }

    private Set<Integer> brokenRules() {
        return TraceVerifier.verify(
                        new TraceVerifier.Rules(
                                16,
                                2000,
                                0.2,
                                8000,
                                2,
                                1000,
                                5000,
                                2,
                                0.5,
                                0,
                                false,
                                Map.of("safe", "idempotent", "once", "at-most-once"),
                                Map.of("safe", 600L, "once", 600L),
                                Map.of("x", 10.0)),
                        trace)
                .broken()
                .keySet();
    }

    @Test
    void judge_traceWithoutViolations_findsNone() {
        offer(0, "a", "once");
        run(5, "a", 0);
        answer(20, "a", "served");
        assertEquals(Set.of(), brokenRules());
    }

    /** A stall of the recording process around the end of a call excuses the gateway; one that ended before it does not. */
    @Test
    void judge_recorderStalledAroundEndOfCall_excusesGateway() {
        offer(0, "a", "safe"); // until 1000
        event(1300, "recorder-stalled", "ms", 400);
        event(1301, "left", "call", "a", "gw", "g", "early", false);
        offer(2000, "b", "safe");
        event(3500, "recorder-stalled", "ms", 600);
        answer(3501, "b", "failed");
        assertEquals(Set.of(), brokenRules());
        offer(4000, "c", "safe");
        event(4700, "recorder-stalled", "ms", 400);
        event(5160, "left", "call", "c", "gw", "g", "early", false);
        assertEquals(Set.of(1), brokenRules());
    }

    /**
     * Load orders recorded right after a stall of the recording process may have arrived at any time during it, so they are not counted; as
     * many recorded while it runs exceed the quota.
     */
    @Test
    void judge_ordersRecordedAfterRecorderStall_areNotCounted() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        event(1000, "recorder-stalled", "ms", 400);
        for (int i = 0; i < 4; i++) {
            event(1001 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(), brokenRules());
        for (int i = 0; i < 4; i++) {
            event(1300 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(5), brokenRules());
    }

    @Test
    void judge_lateAnswerOutsideRecorderStall_breaksRuleOne() {
        offer(0, "a", "safe");
        event(900, "recorder-stalled", "ms", 400);
        answer(1400, "a", "failed");
        event(2000, "recorder-stalled", "ms", 400);
        assertEquals(Set.of(1), brokenRules());
    }

    @Test
    void judge_missingOrLateAnswerOrLostConnection_breaksRuleOne() {
        offer(0, "a", "safe");
        event(1200, "left", "call", "a", "gw", "g", "early", false);
        assertEquals(Set.of(1), brokenRules());
        trace.clear();
        offer(0, "a", "safe");
        answer(1400, "a", "served");
        assertEquals(Set.of(1), brokenRules());
        trace.clear();
        offer(0, "a", "safe");
        event(100, "broken", "call", "a", "gw", "g", "sent", true);
        assertEquals(Set.of(1), brokenRules());
        event(100, "gw-down", "gw", "g");
        assertEquals(Set.of(), brokenRules(), "its gateway was killed");
        trace.clear();
        offer(0, "a", "safe");
        event(300, "left", "call", "a", "gw", "g", "early", true);
        assertEquals(Set.of(), brokenRules(), "its client cancelled the call");
    }

    @Test
    void judge_attemptAfterAnswer_breaksRuleOne() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        run(300, "a", 0);
        assertEquals(Set.of(1), brokenRules());
    }

    @Test
    void judge_secondRunOrRefusalAfterRunOrConcurrentAttempts_breaksRuleTwo() {
        offer(0, "a", "once");
        run(5, "a", 0);
        run(200, "a", 1);
        answer(400, "a", "served");
        assertEquals(Set.of(2), brokenRules());
        trace.clear();
        offer(0, "a", "once");
        run(5, "a", 0);
        answer(20, "a", "refused");
        assertEquals(Set.of(2), brokenRules());
        trace.clear();
        offer(0, "a", "safe");
        event(5, "recv", "worker", "w", "call", "a", "attempt", 0, "gw", "g", "work_us", 1);
        run(10, "a", 1);
        answer(400, "a", "served");
        assertEquals(Set.of(2), brokenRules());
    }

    @Test
    void judge_callReadWhenStoppedWorkerResumes_mayHaveArrivedDuringStop() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        run(2000, "a", 0);
        assertEquals(Set.of(1), brokenRules());
        event(100, "worker-stalled", "worker", "w");
        event(1990, "worker-resumed", "worker", "w");
        assertEquals(Set.of(), brokenRules());
        offer(3000, "b", "once");
        event(3000, "worker-stalled", "worker", "w");
        event(3500, "worker-resumed", "worker", "w");
        run(3510, "b", 0);
        run(3520, "b", 1);
        answer(3530, "b", "served");
        assertEquals(Set.of(2), brokenRules(), "a second run is a violation whatever the time of arrival");
    }

    /** A worker records itself that it was not scheduled; this excuses only calls that may have arrived before the answer. */
    @Test
    void judge_workerNotScheduled_excusesOnlyCallsThatMayPrecedeAnswer() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        run(2000, "a", 0);
        event(1990, "worker-not-run", "worker", "w", "ms", 1200);
        assertEquals(Set.of(), brokenRules());
        offer(3000, "b", "safe");
        answer(3900, "b", "failed");
        run(5000, "b", 0);
        event(4990, "worker-not-run", "worker", "w", "ms", 800);
        assertEquals(
                Set.of(1),
                brokenRules(),
                "it was stalled from 4190 on, so what it read then was sent after the answer");
    }

    @Test
    void judge_adjoiningStallsOfWorker_countAsOne() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        run(2000, "a", 0);
        event(1990, "worker-not-run", "worker", "w", "ms", 400);
        event(1550, "worker-not-run", "worker", "w", "ms", 300);
        assertEquals(Set.of(1), brokenRules());
        event(1200, "worker-not-run", "worker", "w", "ms", 200);
        assertEquals(Set.of(), brokenRules());
    }

    @Test
    void judge_callOrOrderToLeavingWorkerAfterAllowedTime_breaksRuleThree() {
        event(0, "told", "gw", "g", "worker", "w", "state", "DRAINING");
        event(1900, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        event(2600, "hold", "worker", "w", "fn", "f", "count", 0, "gw", "g");
        assertEquals(Set.of(), brokenRules());
        event(2700, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(3), brokenRules());
        trace.clear();
        event(0, "told", "gw", "g", "worker", "w", "state", "UP");
        event(1, "list", "gw", "g", "rev", 2, "whole", true, "workers", "v");
        offer(2500, "a", "safe");
        run(2510, "a", 0);
        answer(2600, "a", "served");
        assertEquals(Set.of(3), brokenRules(), "missing from a complete list");
    }

    @Test
    void judge_burstToWorkerInSlowStart_breaksRuleFour() {
        event(0, "start", "worker", "w", "boot", "b1", "cold", true, "cores", 2, "speed", 1.0);
        for (int i = 0; i < 120; i++) {
            offer(100 + i, "c" + i, "safe");
            run(100 + i, "c" + i, 0);
            answer(200 + i, "c" + i, "served");
        }
        assertEquals(Set.of(), brokenRules(), "no gateway was informed of its start");
        event(50, "told", "gw", "g", "worker", "w", "state", "UP", "boot", "b1");
        assertEquals(Set.of(4), brokenRules());
    }

    @Test
    void judge_moreOrdersThanLoadQuotaOfIncarnation_breaksRuleFive() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        for (int i = 0; i < 2; i++) {
            event(1000 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(), brokenRules());
        event(1010, "gw-down", "gw", "g");
        event(1500, "gw-up", "gw", "g");
        event(1600, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(), brokenRules());
        event(1601, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        event(1602, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(5), brokenRules());
    }
}
