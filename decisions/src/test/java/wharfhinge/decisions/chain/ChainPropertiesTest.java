package wharfhinge.decisions.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.Kind;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.policy.Effect;

/** Runs random graphs of steps with random durations and failures on a simulated clock. */
class ChainPropertiesTest {
    private static final long MILLIS = 1_000_000L;
    private static final long RESERVE_NANOS = 4 * MILLIS;

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    /** A fleet whose steps take random times. Checks the rules of scheduling at every action. */
    private static final class FakeFleet implements ChainScheduler.Actions {
        private final Random random;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final Map<Long, ChainPlan> plans = new HashMap<>();
        private final Map<Long, Long> deadlines = new HashMap<>();
        private final Map<Long, ChainResult> results = new HashMap<>();
        private final Map<String, String> stateByStep = new HashMap<>();
        private final Map<String, Long> unsafeRuns = new HashMap<>();
        private final ChainScheduler scheduler;
        private final int maxSteps;
        private long now;
        private long sequence;
        private int runningSteps;

        FakeFleet(long seed, ChainSettings settings) {
            random = new Random(seed);
            maxSteps = settings.maxSteps();
            scheduler = new ChainScheduler(settings, this, function -> function.hashCode() % 2 == 0);
        }

        void at(long time, Runnable action) {
            events.add(new Event(time, sequence++, action));
        }

        @Override
        public void startStep(long chain, int step, long budgetNanos) {
            assertNull(results.get(chain), "a step started after the answer of its chain");
            assertNull(stateByStep.put(chain + "/" + step, "out"), "a step started twice");
            assertTrue(
                    budgetNanos > 0 && now + budgetNanos <= deadlines.get(chain) - RESERVE_NANOS,
                    "the time budget of a step exceeds the time left");
            for (int need : plans.get(chain).needs(step)) {
                assertEquals(
                        "served",
                        stateByStep.get(chain + "/" + need),
                        "a step started before a step that it needs was served");
            }
            assertTrue(++runningSteps <= maxSteps, "more running steps than allowed");
            long latencyNanos = (long) (random.nextDouble() * random.nextDouble() * 900 * MILLIS);
            boolean isFailed = random.nextInt(20) == 0;
            boolean isRejected = !isFailed && random.nextInt(20) == 0;
            at(now + Math.min(latencyNanos, budgetNanos), () -> {
                if ("out".equals(stateByStep.get(chain + "/" + step))) {
                    runningSteps--;
                    boolean isLate = latencyNanos > budgetNanos;
                    stateByStep.put(
                            chain + "/" + step, isLate || isFailed ? "failed" : isRejected ? "refused" : "served");
                    scheduler.onStepCompleted(
                            now,
                            chain,
                            step,
                            isLate || isFailed ? StepEnd.FAILED : isRejected ? StepEnd.REJECTED : StepEnd.SERVED,
                            latencyNanos,
                            latencyNanos > 400 * MILLIS);
                }
            });
        }

        @Override
        public void cancelStep(long chain, int step) {
            assertEquals(
                    "out",
                    stateByStep.put(chain + "/" + step, "cancelled"),
                    "a step was cancelled that is not running");
            runningSteps--;
        }

        @Override
        public void prefetch(long chain, int step) {
            assertNull(stateByStep.get(chain + "/" + step), "a function was prefetched for a step that has started");
        }

        @Override
        public void completeChain(long chain, ChainResult result) {
            assertNull(results.put(chain, result), "a second answer to a chain");
            assertTrue(now <= deadlines.get(chain), "an answer after the deadline of the chain");
            ChainPlan plan = plans.get(chain);
            for (int i = 0; i < plan.size(); i++) {
                String observedState = stateByStep.getOrDefault(chain + "/" + i, "none");
                boolean mayHaveRun = !observedState.equals("none") && !observedState.equals("refused");
                assertEquals(
                        mayHaveRun,
                        result.steps().get(i) == StepState.SERVED
                                || result.steps().get(i) == StepState.MAY_HAVE_RUN,
                        "the reported state contradicts the observed one: " + observedState);
                assertTrue(
                        result.kind() != Kind.REFUSED
                                || !mayHaveRun
                                || plan.steps().get(i).effect() == Effect.IDEMPOTENT,
                        "a chain was refused as safe to retry after a non-idempotent step may have run");
                assertTrue(
                        result.kind() != Kind.SERVED || observedState.equals("served"),
                        "a chain was served without all of its steps");
            }
        }

        void startChain(long id) {
            int size = 1 + random.nextInt(8);
            List<Step> planSteps = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                List<String> needs = new ArrayList<>();
                for (int earlier = 0; earlier < i; earlier++) {
                    if (random.nextInt(3) == 0) {
                        needs.add("s" + earlier);
                    }
                }
                planSteps.add(new Step(
                        "s" + i,
                        "f" + random.nextInt(6),
                        "c",
                        random.nextInt(4) == 0 ? Effect.AT_MOST_ONCE : Effect.IDEMPOTENT,
                        needs,
                        random.nextInt(3) * 30 * MILLIS,
                        random.nextInt(2) * 500 * MILLIS));
            }
            try {
                plans.put(id, ChainPlan.of(planSteps));
            } catch (ChainPlan.InvalidPlanException e) {
                throw new AssertionError(e);
            }
            long deadline = now + (50 + random.nextInt(2000)) * MILLIS;
            deadlines.put(id, deadline);
            at(deadline - RESERVE_NANOS / 2, () -> scheduler.onDeadline(now, id));
            if (random.nextInt(10) == 0) {
                at(now + random.nextInt(500) * MILLIS, () -> {
                    if (!results.containsKey(id)) {
                        results.put(id, new ChainResult(Kind.FAILED, "left", List.of()));
                        scheduler.onClientCancelled(now, id);
                    }
                });
            }
            scheduler.onChain(now, id, plans.get(id), random.nextBoolean() ? "a" : "b", deadline, null);
        }

        void run() {
            for (Event event = events.poll(); event != null; event = events.poll()) {
                now = event.at();
                event.action().run();
            }
        }
    }

    @Property(tries = 1000, seed = "7", shrinking = ShrinkingMode.OFF)
    void eachChain_getsOneAnswerInTimeAndStartsNothingAfterIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int maxSteps, @ForAll boolean earlyRejection) {
        FakeFleet fleet = new FakeFleet(
                seed,
                new ChainSettings(
                        ChainSettings.Clock.SHARED_DEADLINE,
                        earlyRejection,
                        5,
                        true,
                        30,
                        maxSteps,
                        0.5,
                        1 << 20,
                        RESERVE_NANOS));
        for (long id = 0; id < 60; id++) {
            long chain = id;
            fleet.at(id * 20 * MILLIS, () -> fleet.startChain(chain));
        }
        fleet.run();
        assertEquals(60, fleet.results.size(), "a chain got no answer");
        assertEquals(0, fleet.scheduler.openChains());
        assertEquals(0, fleet.scheduler.runningSteps());
        assertEquals(0, fleet.runningSteps);
    }

    @Property(tries = 300, seed = "7")
    void probabilityInTime_neverFallsWithMoreTime(
            @ForAll @IntRange(max = 1000) int low,
            @ForAll @IntRange(max = 1000) int lowToMedian,
            @ForAll @IntRange(max = 1000) int medianToHigh,
            @ForAll @IntRange(max = 5000) int time) {
        LatencyQuantiles quantiles = new LatencyQuantiles(low, low + lowToMedian, low + lowToMedian + medianToHigh);
        double probability = quantiles.probabilityWithin(time);
        assertTrue(probability >= 0 && probability <= 1);
        assertTrue(quantiles.probabilityWithin(time + 1) >= probability);
        assertTrue(quantiles.plus(new LatencyQuantiles(1, 2, 3)).probabilityWithin(time) <= probability + 1e-9);
    }
}
