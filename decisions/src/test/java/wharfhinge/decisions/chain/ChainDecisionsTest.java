package wharfhinge.decisions.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.chain.ChainPlan.InvalidPlanException;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.Kind;
import wharfhinge.decisions.chain.ChainScheduler.Counter;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.policy.Effect;

/** Edge cases of the scheduling of chains, one event at a time. */
class ChainDecisionsTest {
    private static final long MILLIS = 1_000_000L;
    private final List<String> actions = new ArrayList<>();
    private boolean warm = true;
    private final ChainScheduler scheduler = newScheduler(
            new ChainSettings(ChainSettings.Clock.SHARED_DEADLINE, true, 0, true, 10, 8, 0.5, 1 << 20, 4 * MILLIS));
    private ChainResult lastResult;

    private ChainScheduler newScheduler(ChainSettings settings) {
        return new ChainScheduler(
                settings,
                new ChainScheduler.Actions() {
                    @Override
                    public void startStep(long chain, int step, long budgetNanos) {
                        actions.add("start " + chain + "/" + step);
                    }

                    @Override
                    public void cancelStep(long chain, int step) {
                        actions.add("cancel " + chain + "/" + step);
                    }

                    @Override
                    public void prefetch(long chain, int step) {
                        actions.add("expect " + chain + "/" + step);
                    }

                    @Override
                    public void completeChain(long chain, ChainResult result) {
                        actions.add("end " + chain + " " + result.kind() + " " + result.reason());
                        lastResult = result;
                    }
                },
                function -> warm && !function.startsWith("cold"));
    }

    private static Step step(String id, Effect effect, String... needs) {
        return new Step(
                id, id.startsWith("cold") ? "cold" : "f", "c", effect, List.of(needs), 50 * MILLIS, 800 * MILLIS);
    }

    private static ChainPlan plan(Step... steps) throws InvalidPlanException {
        return ChainPlan.of(List.of(steps));
    }

    @Test
    void chain_whoseColdStartDoesNotFit_isRejectedAtStart() throws Exception {
        scheduler.onChain(
                0,
                1,
                plan(step("a", Effect.IDEMPOTENT), step("cold", Effect.IDEMPOTENT, "a")),
                "t",
                400 * MILLIS,
                null);
        assertEquals(
                List.of("expect 1/1", "end 1 REFUSED too-little-time"),
                actions,
                "0.4 s are too short for a load of 0.8 s; the function is prefetched for the next chain");
        assertEquals(1, scheduler.counter(Counter.REFUSED_AT_START));
    }

    @Test
    void rejectedStep_afterNonIdempotentStep_failsChain() throws Exception {
        scheduler.onChain(
                0, 1, plan(step("a", Effect.AT_MOST_ONCE), step("b", Effect.IDEMPOTENT, "a")), "t", 600 * MILLIS, null);
        scheduler.onStepCompleted(60 * MILLIS, 1, 0, StepEnd.SERVED, 60 * MILLIS, false);
        scheduler.onStepCompleted(70 * MILLIS, 1, 1, StepEnd.REJECTED, 10 * MILLIS, false);
        assertEquals(Kind.FAILED, lastResult.kind());
        assertEquals(List.of(ChainResult.StepState.SERVED, ChainResult.StepState.REFUSED), lastResult.steps());
    }

    @Test
    void stepServedTooLate_rejectsChainBeforeNextStep() throws Exception {
        scheduler.onChain(
                0, 1, plan(step("a", Effect.IDEMPOTENT), step("b", Effect.IDEMPOTENT, "a")), "t", 200 * MILLIS, null);
        scheduler.onStepCompleted(190 * MILLIS, 1, 0, StepEnd.SERVED, 190 * MILLIS, false);
        assertEquals(List.of("start 1/0", "end 1 REFUSED too-little-time"), actions);
        assertEquals(1, scheduler.counter(Counter.REFUSED_LATER));
    }

    @Test
    void failedStep_cancelsParallelStep() throws Exception {
        scheduler.onChain(
                0,
                1,
                plan(
                        step("a", Effect.IDEMPOTENT),
                        step("b", Effect.IDEMPOTENT),
                        step("c", Effect.IDEMPOTENT, "a", "b")),
                "t",
                600 * MILLIS,
                null);
        scheduler.onStepCompleted(10 * MILLIS, 1, 0, StepEnd.FAILED, 10 * MILLIS, false);
        assertEquals(List.of("start 1/0", "start 1/1", "cancel 1/1", "end 1 REFUSED step-failed:a"), actions);
    }

    @Test
    void functionOfLaterStep_isPrefetchedAndCounted() throws Exception {
        scheduler.onChain(
                0,
                1,
                plan(step("a", Effect.IDEMPOTENT), step("cold", Effect.IDEMPOTENT, "a")),
                "t",
                1000 * MILLIS,
                null);
        assertEquals(List.of("start 1/0", "expect 1/1"), actions);
        scheduler.onStepCompleted(50 * MILLIS, 1, 0, StepEnd.SERVED, 50 * MILLIS, false);
        scheduler.onStepCompleted(700 * MILLIS, 1, 1, StepEnd.SERVED, 650 * MILLIS, true);
        assertEquals(1, scheduler.counter(Counter.AHEAD_LATE));
        assertEquals(Kind.SERVED, lastResult.kind());
    }

    @Test
    void coldStartsSlowerThanStated_areLearned() throws Exception {
        for (int i = 0; i < 8; i++) {
            scheduler.onChain(i, i, plan(step("cold", Effect.IDEMPOTENT)), "t", 10_000 * MILLIS, null);
            scheduler.onStepCompleted(3000 * MILLIS, i, 0, StepEnd.SERVED, 3000 * MILLIS, true);
        }
        actions.clear();
        scheduler.onChain(0, 99, plan(step("cold", Effect.IDEMPOTENT)), "t", 1500 * MILLIS, null);
        assertEquals(
                List.of("expect 99/0", "end 99 REFUSED too-little-time"),
                actions,
                "the stated load time is 0.8 s, but recent cold starts took 3 s");
    }

    @Test
    void wideChainOfOneTenant_leavesCapacityForOthers() throws Exception {
        Step[] wide = new Step[20];
        for (int i = 0; i < wide.length; i++) {
            wide[i] = step("w" + i, Effect.IDEMPOTENT);
        }
        scheduler.onChain(0, 1, plan(wide), "greedy", 900 * MILLIS, null);
        assertEquals(4, actions.size(), "one tenant may run half of the eight steps");
        scheduler.onChain(0, 2, plan(step("a", Effect.IDEMPOTENT)), "modest", 600 * MILLIS, null);
        assertTrue(actions.contains("start 2/0"));
        scheduler.onStepCompleted(10 * MILLIS, 1, 0, StepEnd.SERVED, 10 * MILLIS, false);
        assertEquals(6, actions.size(), "after one step has ended, the next one starts");
    }

    @Test
    void stepsFinishedInEarlierAttempt_doNotRunAgain() throws Exception {
        ChainPlan plan = plan(step("a", Effect.AT_MOST_ONCE), step("b", Effect.IDEMPOTENT, "a"));
        scheduler.onChain(0, 1, plan, "t", 600 * MILLIS, new boolean[] {true, false});
        assertEquals(List.of("start 1/1"), actions);
        scheduler.onChain(0, 2, plan, "t", 600 * MILLIS, new boolean[] {true, true});
        assertTrue(actions.contains("end 2 SERVED all-steps-finished-before"));
    }

    @Test
    void concurrencyLimit_fallsWithLostChainsAndRisesWithServedOnes() throws Exception {
        ChainScheduler wideScheduler = newScheduler(new ChainSettings(
                ChainSettings.Clock.SHARED_DEADLINE, true, 0, false, 1000, 1000, 1, 1 << 20, 4 * MILLIS));
        ChainPlan plan = plan(step("a", Effect.IDEMPOTENT), step("b", Effect.IDEMPOTENT, "a"));
        for (int i = 0; i < 60; i++) {
            wideScheduler.onChain(0, i, plan, "t", 600 * MILLIS, null);
        }
        long rejectedInitially = wideScheduler.counter(Counter.REFUSED_AT_START);
        assertTrue(rejectedInitially > 0 && rejectedInitially < 60, "the limit applies before any chain has ended");
        for (int i = 0; i < 60; i++) {
            wideScheduler.onStepCompleted(10 * MILLIS, i, 0, StepEnd.SERVED, 10 * MILLIS, false);
            wideScheduler.onStepCompleted(
                    20 * MILLIS, i, 1, StepEnd.REJECTED, 10 * MILLIS, false); // half of the work is lost
        }
        for (int i = 100; i < 160; i++) {
            wideScheduler.onChain(1000 * MILLIS, i, plan, "t", 1600 * MILLIS, null);
        }
        long rejectedAfterLosses = wideScheduler.counter(Counter.REFUSED_AT_START) - rejectedInitially;
        assertTrue(rejectedAfterLosses > rejectedInitially, "lost chains lower the limit");
        for (int round = 0; round < 300; round++) {
            for (int i = 100; i < 160; i++) {
                wideScheduler.onStepCompleted(1010 * MILLIS, i + 1000L * round, 0, StepEnd.SERVED, 10 * MILLIS, false);
                wideScheduler.onStepCompleted(1020 * MILLIS, i + 1000L * round, 1, StepEnd.SERVED, 10 * MILLIS, false);
            }
            for (int i = 100; i < 160; i++) {
                wideScheduler.onChain(2000 * MILLIS, i + 1000L * (round + 1), plan, "t", 2600 * MILLIS, null);
            }
        }
        assertTrue(wideScheduler.openChains() > 32, "served chains raise the limit again");
    }

    @Test
    void chainRejectedAtItsFirstStep_doesNotCutConcurrencyLimit() throws Exception {
        ChainScheduler wideScheduler = newScheduler(new ChainSettings(
                ChainSettings.Clock.SHARED_DEADLINE, true, 0, false, 1000, 1000, 1, 1 << 20, 4 * MILLIS));
        ChainPlan plan = plan(step("a", Effect.IDEMPOTENT), step("b", Effect.IDEMPOTENT, "a"));
        for (int i = 0; i < 30; i++) {
            wideScheduler.onChain(0, i, plan, "t", 600 * MILLIS, null);
        }
        for (int i = 0; i < 30; i++) {
            wideScheduler.onStepCompleted(10 * MILLIS, i, 0, StepEnd.REJECTED, 10 * MILLIS, false);
        }
        for (int i = 100; i < 130; i++) {
            wideScheduler.onChain(1000 * MILLIS, i, plan, "t", 1600 * MILLIS, null);
        }
        assertEquals(0, wideScheduler.counter(Counter.REFUSED_AT_START));
    }
}
