package wharfhinge.client.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import wharfhinge.client.core.CallResult.Kind;
import wharfhinge.client.core.CallResult.Reason;

/** Tests the decisions of a client in simulated time: single cases, and properties over random scenarios. */
class ClientDecisionsTest {
    private static final long MS = Sim.MS;
    private static final CallPlan IDEMPOTENT = new CallPlan(1000 * MS, true, false);
    private static final CallPlan NON_IDEMPOTENT = new CallPlan(1000 * MS, false, false);
    private static final ClientPolicy POLICY =
            new ClientPolicy(50, 0.2, 5, 20 * MS, 500 * MS, 300 * MS, 3, 1000 * MS, 100 * MS);

    private static Sim sim(java.util.function.Function<Sim.SentAttempt, Sim.Answer> gateways, String... names) {
        Sim sim = new Sim(POLICY, 1, gateways);
        sim.client.onGatewayList(List.of(names));
        return sim;
    }

    private static CallResult runCall(Sim sim, CallPlan plan) {
        sim.call(1, plan);
        sim.run(5000 * MS);
        assertEquals(List.of(), sim.violations);
        return sim.results.get(1L);
    }

    @Test
    void call_answered_isServed() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 20), "a", "b");
        assertEquals(new CallResult(Kind.SERVED, true, 0, 1, Reason.ANSWERED), runCall(sim, NON_IDEMPOTENT));
        assertEquals(1000 * MS, sim.sent.get(0).remainingNanos());
    }

    @Test
    void startedStream_hasNoDeadlineHedgeOrRetry() {
        Sim sim = sim(s -> null, "a", "b");
        sim.call(1, new CallPlan(1000 * MS, true, true));
        sim.run(150 * MS); // the hedge is in flight by now
        assertEquals(2, sim.attempts(1));
        assertTrue(sim.client.onStreamStarted(sim.now, 1, 0));
        assertFalse(sim.client.onStreamStarted(sim.now, 1, 1), "the other attempt was abandoned");
        sim.run(5000 * MS);
        assertEquals(2, sim.attempts(1));
        assertEquals(null, sim.results.get(1L));
        sim.client.onAttemptEnded(sim.now, 1, 0, AttemptResult.BROKEN, 0);
        assertEquals(new CallResult(Kind.FAILED, true, 0, 2, Reason.BROKE_OFF), sim.results.get(1L));
    }

    @Test
    void rejectedCall_isRetriedAfterRetryAfterWithinOneDeadline() {
        Sim sim = sim(
                s -> s.index() == 0
                        ? new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 200 * MS)
                        : Sim.Answer.of(AttemptResult.SERVED, 10),
                "a",
                "b");
        assertEquals(Kind.SERVED, runCall(sim, NON_IDEMPOTENT).kind());
        Sim.SentAttempt second = sim.sent.get(1);
        assertTrue(second.at() - sim.sent.get(0).at() >= 210 * MS, "not before Retry-After");
        assertTrue(second.repeat() && second.remainingNanos() <= 790 * MS, "one deadline for both attempts: " + second);
        assertNotEquals(sim.sent.get(0).gateway(), second.gateway());
    }

    @Test
    void rejectedCall_retryAfterBeyondDeadline_endsAtOnce() {
        Sim sim = sim(s -> new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 2000 * MS), "a", "b");
        CallResult result = runCall(sim, IDEMPOTENT);
        assertEquals(new CallResult(Kind.REFUSED, false, 2000 * MS, 1, Reason.NO_TIME_TO_COME_BACK), result);
        assertEquals(15 * MS, sim.endedAt.get(1L), "result not delayed until the deadline");
    }

    @Test
    void nonIdempotentCall_possiblyExecuted_isNotRetried() {
        for (AttemptResult result : new AttemptResult[] {AttemptResult.BROKEN, AttemptResult.FAILED}) {
            Sim sim = sim(s -> Sim.Answer.of(result, 10), "a", "b");
            assertEquals(new CallResult(Kind.FAILED, true, 0, 1, Reason.UNSAFE), runCall(sim, NON_IDEMPOTENT));
        }
        Sim sim = sim(s -> Sim.Answer.of(s.index() == 0 ? AttemptResult.NOT_SENT : AttemptResult.SERVED, 10), "a", "b");
        assertEquals(2, runCall(sim, NON_IDEMPOTENT).attempts(), "an unsent attempt is retried elsewhere at once");
        assertEquals(10 * MS, sim.sent.get(1).at() - sim.sent.get(0).at());
    }

    @Test
    void idempotentCall_gatewaySilent_isRetriedElsewhere() {
        Sim sim = sim(s -> s.gateway().equals("a") ? null : Sim.Answer.of(AttemptResult.SERVED, 10), "a", "b");
        for (int i = 1; i <= 40; i++) {
            sim.call(i, IDEMPOTENT);
            sim.run(400 * MS);
        }
        assertTrue(
                sim.results.values().stream().allMatch(result -> result.kind() == Kind.SERVED), sim.results.toString());
        long sentToSilentGateway = sim.sent.stream()
                .filter(s -> s.gateway().equals("a") && s.at() > 3000 * MS)
                .count();
        assertTrue(
                sentToSilentGateway <= 8, "ejected, except for trials at doubling intervals: " + sentToSilentGateway);
        assertEquals(1, sim.client.metrics().ejected());
    }

    @Test
    void nonIdempotentCall_gatewaySilent_isLateAndPossiblyExecuted() {
        Sim sim = sim(s -> null, "a");
        assertEquals(new CallResult(Kind.LATE, true, 0, 1, Reason.DEADLINE), runCall(sim, NON_IDEMPOTENT));
        assertEquals(1005 * MS, sim.endedAt.get(1L));
    }

    @Test
    void answerAfterDeadline_isIgnored() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 1500), "a");
        assertEquals(Kind.LATE, runCall(sim, NON_IDEMPOTENT).kind());
    }

    @Test
    void retries_areLimitedByBudget() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.REFUSED, 1), "a", "b", "c");
        for (int i = 0; i < 1000; i++) {
            sim.call(i, IDEMPOTENT);
            sim.run(10 * MS);
        }
        sim.run(5000 * MS);
        assertTrue(sim.sent.size() <= 1000 + 5 + 200, "attempts: " + sim.sent.size());
        assertTrue(sim.sent.size() >= 1150, "the budget is used: " + sim.sent.size());
        assertEquals(1000, sim.results.size());
    }

    @Test
    void hedge_takesFirstAnswerATokenAndAnotherGateway() {
        Sim sim = sim(
                s -> s.index() == 0
                        ? Sim.Answer.of(AttemptResult.SERVED, 250)
                        : Sim.Answer.of(AttemptResult.SERVED, 20),
                "a",
                "b");
        assertEquals(2, runCall(sim, new CallPlan(1000 * MS, true, true)).attempts());
        assertEquals(125 * MS, sim.endedAt.get(1L));
        assertNotEquals(sim.sent.get(0).gateway(), sim.sent.get(1).gateway());
        assertEquals(1, sim.client.metrics().hedges());
        assertThrows(IllegalArgumentException.class, () -> new CallPlan(1, false, true));
    }

    @Test
    void callBeyondMaxPending_isRejectedByClient() {
        Sim sim = sim(s -> null, "a");
        for (int i = 0; i < 51; i++) {
            sim.call(i, IDEMPOTENT);
        }
        assertEquals(Reason.TOO_MANY_OPEN, sim.results.get(50L).reason());
        assertFalse(sim.results.get(50L).mayHaveRun());
        assertEquals(50, sim.client.metrics().pending());
    }

    @Test
    void cancel_endsCallAtEachStage() {
        Sim sim = sim(s -> s.index() == 0 ? new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 100 * MS) : null, "a", "b");
        for (long after : new long[] {0, 5, 50, 180}) { // at once, in flight, waiting for the retry, retry in flight
            sim.call(after, IDEMPOTENT);
            sim.at(after * MS, () -> sim.client.onCancelled(sim.now, after));
            sim.run(2000 * MS);
            assertEquals(Kind.CANCELLED, sim.results.get(after).kind());
        }
        assertEquals(List.of(), sim.violations);
        assertEquals(0, sim.client.metrics().pending());
    }

    @Test
    void gatewayList_mayChangeAndBeEmpty() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 10));
        assertEquals(Reason.NO_GATEWAY, runCall(sim, IDEMPOTENT).reason());
        sim.client.onGatewayList(List.of("a"));
        sim.call(2, IDEMPOTENT);
        sim.client.onGatewayList(List.of("b"));
        sim.run(100 * MS);
        assertEquals(Kind.SERVED, sim.results.get(2L).kind(), "an attempt in flight at a removed gateway is answered");
        sim.call(3, IDEMPOTENT);
        assertEquals("b", sim.sent.get(1).gateway());
    }

    @Test
    void invalidSetting_isNamedInMessage() {
        var invalid = assertThrows(IllegalArgumentException.class, () -> new ClientPolicy(0, 0.2, 5, 1, 1, 1, 1, 1, 1));
        assertEquals("maxPending: found 0, allowed: above 0", invalid.getMessage());
    }

    /**
     * Whatever the gateways answer, each call ends once and by its deadline, a non-idempotent call that was possibly executed is not
     * retried, and the attempts stay within the retry budget.
     */
    @Property(tries = 300)
    void randomScenarios_keepRules(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int gateways) {
        Random scenario = new Random(seed);
        Sim sim = new Sim(POLICY, seed, s -> {
            int draw = scenario.nextInt(10);
            AttemptResult result = AttemptResult.values()[scenario.nextInt(AttemptResult.values().length)];
            return draw == 0
                    ? null
                    : new Sim.Answer(
                            draw < 5 ? AttemptResult.SERVED : result,
                            scenario.nextInt(400) * MS,
                            scenario.nextInt(3) * 150 * MS);
        });
        List<String> names = List.of("a", "b", "c", "d").subList(0, gateways);
        sim.client.onGatewayList(names);
        int calls = 120;
        java.util.Map<Long, CallPlan> plans = new java.util.HashMap<>();
        java.util.Map<Long, Long> startedAt = new java.util.HashMap<>();
        for (long i = 0; i < calls; i++) {
            boolean idempotent = scenario.nextBoolean();
            CallPlan plan =
                    new CallPlan((100 + scenario.nextInt(1000)) * MS, idempotent, idempotent && scenario.nextBoolean());
            plans.put(i, plan);
            startedAt.put(i, sim.now);
            sim.call(i, plan);
            sim.run(scenario.nextInt(60) * MS);
        }
        sim.run(3000 * MS);
        assertEquals(List.of(), sim.violations);
        assertEquals(calls, sim.results.size());
        assertEquals(0, sim.client.metrics().pending());
        long attempts = 0;
        for (long i = 0; i < calls; i++) {
            CallResult result = sim.results.get(i);
            assertTrue(sim.endedAt.get(i) - startedAt.get(i) <= plans.get(i).deadlineNanos(), "ended by its deadline");
            attempts += result.attempts();
            if (result.kind() == Kind.REFUSED) {
                assertFalse(result.mayHaveRun(), "a rejected call was not executed");
            }
        }
        assertTrue(attempts <= calls + 5 + 0.2 * calls + 1, "budget: " + attempts);
    }
}
