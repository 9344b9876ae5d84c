package wharfhinge.standin.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Traces written by hand, each with one thing wrong or none. */
class JudgeTest {
    private static final long MS = 1_000_000L;
    private final List<String> trace = new ArrayList<>();

    private void at(long ms, String word, Object... pairs) {
        StringBuilder line = new StringBuilder().append(ms * MS).append('\t').append(word);
        for (int i = 0; i < pairs.length; i += 2) {
            line.append('\t').append(pairs[i]).append('=').append(pairs[i + 1]);
        }
        trace.add(line.toString());
    }

    private void offer(long ms, String call, String type) {
        at(ms, "offer", "call", call, "gw", "g", "class", type, "fn", "f", "deadline_ms", 1000, "former", "-");
        at(ms, "sent", "call", call, "gw", "g");
    }

    private void answer(long ms, String call, String kind) {
        at(ms, "answer", "call", call, "gw", "g", "status", 200, "kind", kind, "own", true, "worker", "w");
    }

    private void ran(long ms, String call, int attempt) {
        at(
                ms, "recv", "worker", "w", "call", call, "attempt", attempt, "gw", "g", "class", "x", "fn", "f",
                "work_us", 10_000);
        at(ms, "run", "worker", "w", "call", call, "attempt", attempt);
        at(ms + 10, "reply", "worker", "w", "call", call, "attempt", attempt, "code", "served");
    }

    private Set<Integer> broken() {
        return Judge.judge(
                        new Judge.Rules(
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
    void aCleanDayKeepsAll() {
        offer(0, "a", "once");
        ran(5, "a", 0);
        answer(20, "a", "served");
        assertEquals(Set.of(), broken());
    }

    /** The clients' own process stood still around the end of a call; one that stood still before or after excuses nobody. */
    @Test
    void aStandstillOfTheClientsOwnProcessIsNotTheGateways() {
        offer(0, "a", "safe"); // until 1000
        at(1300, "recorder-stalled", "ms", 400);
        at(1301, "left", "call", "a", "gw", "g", "early", false);
        offer(2000, "b", "safe");
        at(3500, "recorder-stalled", "ms", 600);
        answer(3501, "b", "failed");
        assertEquals(Set.of(), broken());
        offer(4000, "c", "safe");
        at(4700, "recorder-stalled", "ms", 400);
        at(5160, "left", "call", "c", "gw", "g", "early", false);
        assertEquals(Set.of(1), broken());
    }

    /** Orders that came over two seconds are all noted as the recording process goes on; as many noted while it ran are too many. */
    @Test
    void ordersNotedAfterAStandstillAreNotCounted() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        at(1000, "recorder-stalled", "ms", 400);
        for (int i = 0; i < 4; i++) {
            at(1001 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(), broken());
        for (int i = 0; i < 4; i++) {
            at(1300 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(5), broken());
    }

    @Test
    void anAnswerThatIsLateBesideAStandstillBreaksRuleOne() {
        offer(0, "a", "safe");
        at(900, "recorder-stalled", "ms", 400);
        answer(1400, "a", "failed");
        at(2000, "recorder-stalled", "ms", 400);
        assertEquals(Set.of(1), broken());
    }

    @Test
    void noAnswerALateOneAndALostConnectionBreakRuleOne() {
        offer(0, "a", "safe");
        at(1200, "left", "call", "a", "gw", "g", "early", false);
        assertEquals(Set.of(1), broken());
        trace.clear();
        offer(0, "a", "safe");
        answer(1400, "a", "served");
        assertEquals(Set.of(1), broken());
        trace.clear();
        offer(0, "a", "safe");
        at(100, "broken", "call", "a", "gw", "g", "sent", true);
        assertEquals(Set.of(1), broken());
        at(100, "gw-down", "gw", "g");
        assertEquals(Set.of(), broken(), "its gateway was killed");
        trace.clear();
        offer(0, "a", "safe");
        at(300, "left", "call", "a", "gw", "g", "early", true);
        assertEquals(Set.of(), broken(), "its client left by itself");
    }

    @Test
    void aSendAfterTheAnswerBreaksRuleOne() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        ran(300, "a", 0);
        assertEquals(Set.of(1), broken());
    }

    @Test
    void aSecondRunAHarmlessWordAfterOneAndTwoAtOnceBreakRuleTwo() {
        offer(0, "a", "once");
        ran(5, "a", 0);
        ran(200, "a", 1);
        answer(400, "a", "served");
        assertEquals(Set.of(2), broken());
        trace.clear();
        offer(0, "a", "once");
        ran(5, "a", 0);
        answer(20, "a", "refused");
        assertEquals(Set.of(2), broken());
        trace.clear();
        offer(0, "a", "safe");
        at(5, "recv", "worker", "w", "call", "a", "attempt", 0, "gw", "g", "work_us", 1);
        ran(10, "a", 1);
        answer(400, "a", "served");
        assertEquals(Set.of(2), broken());
    }

    @Test
    void whatAWorkerReadsWhenItGoesOnMayHaveComeWhileItStood() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        ran(2000, "a", 0);
        assertEquals(Set.of(1), broken());
        at(100, "worker-stalled", "worker", "w");
        at(1990, "worker-resumed", "worker", "w");
        assertEquals(Set.of(), broken());
        offer(3000, "b", "once");
        at(3000, "worker-stalled", "worker", "w");
        at(3500, "worker-resumed", "worker", "w");
        ran(3510, "b", 0);
        ran(3520, "b", 1);
        answer(3530, "b", "served");
        assertEquals(Set.of(2), broken(), "that it ran twice is known whenever it came");
    }

    /** A worker that the machine did not run notes so itself; only what may have come before or during the answer is explained by it. */
    @Test
    void workerNotRun_explainsWhatMayHaveComeBeforeTheAnswerAlone() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        ran(2000, "a", 0);
        at(1990, "worker-not-run", "worker", "w", "ms", 1200);
        assertEquals(Set.of(), broken());
        offer(3000, "b", "safe");
        answer(3900, "b", "failed");
        ran(5000, "b", 0);
        at(4990, "worker-not-run", "worker", "w", "ms", 800);
        assertEquals(Set.of(1), broken(), "it stood still from 4190 on: what it read then was sent after the answer");
    }

    @Test
    void spansWithoutRunning_thatFollowEachOther_areOne() {
        offer(0, "a", "safe");
        answer(900, "a", "failed");
        ran(2000, "a", 0);
        at(1990, "worker-not-run", "worker", "w", "ms", 400);
        at(1550, "worker-not-run", "worker", "w", "ms", 300);
        assertEquals(Set.of(1), broken());
        at(1200, "worker-not-run", "worker", "w", "ms", 200);
        assertEquals(Set.of(), broken());
    }

    @Test
    void callsAndOrdersAfterTheGraceBreakRuleThree() {
        at(0, "told", "gw", "g", "worker", "w", "state", "DRAINING");
        at(1900, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        at(2600, "hold", "worker", "w", "fn", "f", "count", 0, "gw", "g");
        assertEquals(Set.of(), broken());
        at(2700, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(3), broken());
        trace.clear();
        at(0, "told", "gw", "g", "worker", "w", "state", "UP");
        at(1, "list", "gw", "g", "rev", 2, "whole", true, "workers", "v");
        offer(2500, "a", "safe");
        ran(2510, "a", 0);
        answer(2600, "a", "served");
        assertEquals(Set.of(3), broken(), "missing from a whole list");
    }

    @Test
    void aBurstAtAColdWorkerBreaksRuleFour() {
        at(0, "start", "worker", "w", "boot", "b1", "cold", true, "cores", 2, "speed", 1.0);
        for (int i = 0; i < 120; i++) {
            offer(100 + i, "c" + i, "safe");
            ran(100 + i, "c" + i, 0);
            answer(200 + i, "c" + i, "served");
        }
        assertEquals(Set.of(), broken(), "nobody knew of its start");
        at(50, "told", "gw", "g", "worker", "w", "state", "UP", "boot", "b1");
        assertEquals(Set.of(4), broken());
    }

    @Test
    void moreOrdersThanTheRationBreakRuleFiveAndAKilledGatewayBeginsAnew() {
        offer(0, "a", "safe");
        answer(20, "a", "refused");
        for (int i = 0; i < 2; i++) {
            at(1000 + i, "hold", "worker", "w", "fn", "f" + i, "count", 1, "gw", "g");
        }
        assertEquals(Set.of(), broken());
        at(1010, "gw-down", "gw", "g");
        at(1500, "gw-up", "gw", "g");
        at(1600, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(), broken());
        at(1601, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        at(1602, "hold", "worker", "w", "fn", "f", "count", 1, "gw", "g");
        assertEquals(Set.of(5), broken());
    }
}
