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

/** What a client decides, case by case and over random stories; simulated time. */
class ClientDecisionsTest {
    private static final long MS = Sim.MS;
    private static final CallPlan SAFE = new CallPlan(1000 * MS, true, false);
    private static final CallPlan UNSAFE = new CallPlan(1000 * MS, false, false);
    private static final ClientPolicy POLICY =
            new ClientPolicy(50, 0.2, 5, 20 * MS, 500 * MS, 300 * MS, 3, 1000 * MS, 100 * MS);

    private static Sim sim(java.util.function.Function<Sim.Sent, Sim.Answer> gateways, String... names) {
        Sim sim = new Sim(POLICY, 1, gateways);
        sim.client.onGatewayList(List.of(names));
        return sim;
    }

    private static CallResult end(Sim sim, CallPlan plan) {
        sim.call(1, plan);
        sim.run(5000 * MS);
        assertEquals(List.of(), sim.faults);
        return sim.ends.get(1L);
    }

    @Test
    void aServedCallIsServed() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 20), "a", "b");
        assertEquals(new CallResult(Kind.SERVED, true, 0, 1, Reason.ANSWERED), end(sim, UNSAFE));
        assertEquals(1000 * MS, sim.sent.get(0).remainingNanos());
    }

    @Test
    void aStreamThatBeganHasNoDeadlineNoHedgeAndNoSecondTry() {
        Sim sim = sim(s -> null, "a", "b");
        sim.call(1, new CallPlan(1000 * MS, true, true));
        sim.run(150 * MS); // a hedge is out by now
        assertEquals(2, sim.tries(1));
        assertTrue(sim.client.onStreamStarted(sim.now, 1, 0));
        assertFalse(sim.client.onStreamStarted(sim.now, 1, 1), "the other copy was given up");
        sim.run(5000 * MS);
        assertEquals(2, sim.tries(1));
        assertEquals(null, sim.ends.get(1L));
        sim.client.onAttemptEnded(sim.now, 1, 0, AttemptResult.BROKEN, 0);
        assertEquals(new CallResult(Kind.FAILED, true, 0, 2, Reason.BROKE_OFF), sim.ends.get(1L));
    }

    @Test
    void aRefusedCallComesBackAfterTheAdviceWithinOneDeadline() {
        Sim sim = sim(
                s -> s.index() == 0
                        ? new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 200 * MS)
                        : Sim.Answer.of(AttemptResult.SERVED, 10),
                "a",
                "b");
        assertEquals(Kind.SERVED, end(sim, UNSAFE).kind());
        Sim.Sent second = sim.sent.get(1);
        assertTrue(second.at() - sim.sent.get(0).at() >= 210 * MS, "not before the advice");
        assertTrue(second.repeat() && second.remainingNanos() <= 790 * MS, "one deadline over both: " + second);
        assertNotEquals(sim.sent.get(0).gateway(), second.gateway());
    }

    @Test
    void adviceLongerThanTheTimeLeftIsTheAnswerAtOnce() {
        Sim sim = sim(s -> new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 2000 * MS), "a", "b");
        CallResult end = end(sim, SAFE);
        assertEquals(new CallResult(Kind.REFUSED, false, 2000 * MS, 1, Reason.NO_TIME_TO_COME_BACK), end);
        assertEquals(15 * MS, sim.endedAt.get(1L), "not held back to the deadline");
    }

    @Test
    void anUnsafeCallThatMayHaveRunIsNeverRepeated() {
        for (AttemptResult how : new AttemptResult[] {AttemptResult.BROKEN, AttemptResult.FAILED}) {
            Sim sim = sim(s -> Sim.Answer.of(how, 10), "a", "b");
            assertEquals(new CallResult(Kind.FAILED, true, 0, 1, Reason.UNSAFE), end(sim, UNSAFE));
        }
        Sim sim = sim(s -> Sim.Answer.of(s.index() == 0 ? AttemptResult.NOT_SENT : AttemptResult.SERVED, 10), "a", "b");
        assertEquals(2, end(sim, UNSAFE).attempts(), "what never went out may go elsewhere, and at once");
        assertEquals(10 * MS, sim.sent.get(1).at() - sim.sent.get(0).at());
    }

    @Test
    void aSafeCallOnASilentGatewayGoesElsewhere() {
        Sim sim = sim(s -> s.gateway().equals("a") ? null : Sim.Answer.of(AttemptResult.SERVED, 10), "a", "b");
        for (int i = 1; i <= 40; i++) {
            sim.call(i, SAFE);
            sim.run(400 * MS);
        }
        assertTrue(sim.ends.values().stream().allMatch(e -> e.kind() == Kind.SERVED), sim.ends.toString());
        long late = sim.sent.stream()
                .filter(s -> s.gateway().equals("a") && s.at() > 3000 * MS)
                .count();
        assertTrue(late <= 8, "left out, but for trials whose pause doubles: " + late);
        assertEquals(1, sim.client.metrics().ejected());
    }

    @Test
    void anUnsafeCallOnASilentGatewayIsLateAndMayHaveRun() {
        Sim sim = sim(s -> null, "a");
        assertEquals(new CallResult(Kind.LATE, true, 0, 1, Reason.DEADLINE), end(sim, UNSAFE));
        assertEquals(1005 * MS, sim.endedAt.get(1L));
    }

    @Test
    void anAnswerAfterTheDeadlineIsDropped() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 1500), "a");
        assertEquals(Kind.LATE, end(sim, UNSAFE).kind());
    }

    @Test
    void furtherTriesAreABudgetNotAMultiple() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.REFUSED, 1), "a", "b", "c");
        for (int i = 0; i < 1000; i++) {
            sim.call(i, SAFE);
            sim.run(10 * MS);
        }
        sim.run(5000 * MS);
        assertTrue(sim.sent.size() <= 1000 + 5 + 200, "tries: " + sim.sent.size());
        assertTrue(sim.sent.size() >= 1150, "and it is used: " + sim.sent.size());
        assertEquals(1000, sim.ends.size());
    }

    @Test
    void aHedgeTakesTheFirstAnswerAndATokenAndAnotherGateway() {
        Sim sim = sim(
                s -> s.index() == 0
                        ? Sim.Answer.of(AttemptResult.SERVED, 250)
                        : Sim.Answer.of(AttemptResult.SERVED, 20),
                "a",
                "b");
        assertEquals(2, end(sim, new CallPlan(1000 * MS, true, true)).attempts());
        assertEquals(125 * MS, sim.endedAt.get(1L));
        assertNotEquals(sim.sent.get(0).gateway(), sim.sent.get(1).gateway());
        assertEquals(1, sim.client.metrics().hedges());
        assertThrows(IllegalArgumentException.class, () -> new CallPlan(1, false, true));
    }

    @Test
    void oneBeyondTheCapIsRefusedByTheClientItself() {
        Sim sim = sim(s -> null, "a");
        for (int i = 0; i < 51; i++) {
            sim.call(i, SAFE);
        }
        assertEquals(Reason.TOO_MANY_OPEN, sim.ends.get(50L).reason());
        assertFalse(sim.ends.get(50L).mayHaveRun());
        assertEquals(50, sim.client.metrics().pending());
    }

    @Test
    void cancelEndsItAtEachStage() {
        Sim sim = sim(s -> s.index() == 0 ? new Sim.Answer(AttemptResult.REFUSED, 10 * MS, 100 * MS) : null, "a", "b");
        for (long after : new long[] {0, 5, 50, 180}) { // at once, sent, waiting to come back, sent again
            sim.call(after, SAFE);
            sim.at(after * MS, () -> sim.client.onCancelled(sim.now, after));
            sim.run(2000 * MS);
            assertEquals(Kind.CANCELLED, sim.ends.get(after).kind());
        }
        assertEquals(List.of(), sim.faults);
        assertEquals(0, sim.client.metrics().pending());
    }

    @Test
    void theListMayChangeAndBeEmpty() {
        Sim sim = sim(s -> Sim.Answer.of(AttemptResult.SERVED, 10));
        assertEquals(Reason.NO_GATEWAY, end(sim, SAFE).reason());
        sim.client.onGatewayList(List.of("a"));
        sim.call(2, SAFE);
        sim.client.onGatewayList(List.of("b"));
        sim.run(100 * MS);
        assertEquals(Kind.SERVED, sim.ends.get(2L).kind(), "what is out at one that left is answered");
        sim.call(3, SAFE);
        assertEquals("b", sim.sent.get(1).gateway());
    }

    @Test
    void wrongSettingsAreNamed() {
        var wrong = assertThrows(IllegalArgumentException.class, () -> new ClientPolicy(0, 0.2, 5, 1, 1, 1, 1, 1, 1));
        assertEquals("maxPending: found 0, allowed: above 0", wrong.getMessage());
    }

    /** Whatever gateways do: one end for each call by its deadline, unsafe ones never twice, tries within the budget. */
    @Property(tries = 300)
    void storiesKeepTheRules(@ForAll long seed, @ForAll @IntRange(min = 1, max = 4) int gateways) {
        Random story = new Random(seed);
        Sim sim = new Sim(POLICY, seed, s -> {
            int draw = story.nextInt(10);
            AttemptResult end = AttemptResult.values()[story.nextInt(AttemptResult.values().length)];
            return draw == 0
                    ? null
                    : new Sim.Answer(
                            draw < 5 ? AttemptResult.SERVED : end,
                            story.nextInt(400) * MS,
                            story.nextInt(3) * 150 * MS);
        });
        List<String> names = List.of("a", "b", "c", "d").subList(0, gateways);
        sim.client.onGatewayList(names);
        int calls = 120;
        java.util.Map<Long, CallPlan> plans = new java.util.HashMap<>();
        java.util.Map<Long, Long> begun = new java.util.HashMap<>();
        for (long i = 0; i < calls; i++) {
            boolean safe = story.nextBoolean();
            CallPlan plan = new CallPlan((100 + story.nextInt(1000)) * MS, safe, safe && story.nextBoolean());
            plans.put(i, plan);
            begun.put(i, sim.now);
            sim.call(i, plan);
            sim.run(story.nextInt(60) * MS);
        }
        sim.run(3000 * MS);
        assertEquals(List.of(), sim.faults);
        assertEquals(calls, sim.ends.size());
        assertEquals(0, sim.client.metrics().pending());
        long tries = 0;
        for (long i = 0; i < calls; i++) {
            CallResult end = sim.ends.get(i);
            assertTrue(sim.endedAt.get(i) - begun.get(i) <= plans.get(i).deadlineNanos(), "in time");
            tries += end.attempts();
            if (end.kind() == Kind.REFUSED) {
                assertFalse(end.mayHaveRun(), "refused means it did not run");
            }
        }
        assertTrue(tries <= calls + 5 + 0.2 * calls + 1, "budget: " + tries);
    }
}
