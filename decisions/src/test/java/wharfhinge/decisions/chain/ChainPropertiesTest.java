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

/** Random graphs, times and failures over a simulated clock. */
class ChainPropertiesTest {
    private static final long MILLIS = 1_000_000L;
    private static final long RESERVE_NANOS = 4 * MILLIS;

    private record Event(long at, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** Steps that take random times, with the rules checked at every action. */
    private static final class FakeFleet implements ChainScheduler.Actions {
        private final Random random;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final Map<Long, ChainPlan> plans = new HashMap<>();
        private final Map<Long, Long> deadlines = new HashMap<>();
        private final Map<Long, ChainResult> ends = new HashMap<>();
        private final Map<String, String> steps = new HashMap<>();
        private final Map<String, Long> unsafeRuns = new HashMap<>();
        private final ChainScheduler decisions;
        private final int mostSteps;
        private long now;
        private long number;
        private int out;

        FakeFleet(long seed, ChainSettings settings) {
            random = new Random(seed);
            mostSteps = settings.maxSteps();
            decisions = new ChainScheduler(settings, this, f -> f.hashCode() % 2 == 0);
        }

        void at(long time, Runnable what) {
            events.add(new Event(time, number++, what));
        }

        @Override
        public void startStep(long chain, int step, long mayTakeNanos) {
            assertNull(ends.get(chain), "a step starts after the answer");
            assertNull(steps.put(chain + "/" + step, "out"), "a step starts twice");
            assertTrue(
                    mayTakeNanos > 0 && now + mayTakeNanos <= deadlines.get(chain) - RESERVE_NANOS,
                    "a step may take more than is left");
            for (int need : plans.get(chain).needs(step)) {
                assertEquals("served", steps.get(chain + "/" + need), "a step starts before what it needs");
            }
            assertTrue(++out <= mostSteps, "more steps out than allowed");
            long took = (long) (random.nextDouble() * random.nextDouble() * 900 * MILLIS);
            boolean fails = random.nextInt(20) == 0;
            boolean refused = !fails && random.nextInt(20) == 0;
            at(now + Math.min(took, mayTakeNanos), () -> {
                if ("out".equals(steps.get(chain + "/" + step))) {
                    out--;
                    boolean late = took > mayTakeNanos;
                    steps.put(chain + "/" + step, late || fails ? "failed" : refused ? "refused" : "served");
                    decisions.onStepCompleted(
                            now,
                            chain,
                            step,
                            late || fails ? StepEnd.FAILED : refused ? StepEnd.REJECTED : StepEnd.SERVED,
                            took,
                            took > 400 * MILLIS);
                }
            });
        }

        @Override
        public void cancelStep(long chain, int step) {
            assertEquals("out", steps.put(chain + "/" + step, "cancelled"), "cancelled what is not out");
            out--;
        }

        @Override
        public void prefetch(long chain, int step) {
            assertNull(steps.get(chain + "/" + step), "loaded ahead for a step that has begun");
        }

        @Override
        public void completeChain(long chain, ChainResult end) {
            assertNull(ends.put(chain, end), "two answers");
            assertTrue(now <= deadlines.get(chain), "an answer after the deadline");
            ChainPlan plan = plans.get(chain);
            for (int i = 0; i < plan.size(); i++) {
                String seen = steps.getOrDefault(chain + "/" + i, "none");
                boolean exposed = !seen.equals("none") && !seen.equals("refused");
                assertEquals(
                        exposed,
                        end.steps().get(i) == StepState.SERVED || end.steps().get(i) == StepState.MAY_HAVE_RUN,
                        "a state that is not so: " + seen);
                assertTrue(
                        end.kind() != Kind.REFUSED
                                || !exposed
                                || plan.steps().get(i).effect() == Effect.IDEMPOTENT,
                        "a refusal after an unsafe step");
                assertTrue(end.kind() != Kind.SERVED || seen.equals("served"), "served without all steps");
            }
        }

        void begin(long id) {
            int n = 1 + random.nextInt(8);
            List<Step> all = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                List<String> needs = new ArrayList<>();
                for (int k = 0; k < i; k++) {
                    if (random.nextInt(3) == 0) {
                        needs.add("s" + k);
                    }
                }
                all.add(new Step(
                        "s" + i,
                        "f" + random.nextInt(6),
                        "c",
                        random.nextInt(4) == 0 ? Effect.AT_MOST_ONCE : Effect.IDEMPOTENT,
                        needs,
                        random.nextInt(3) * 30 * MILLIS,
                        random.nextInt(2) * 500 * MILLIS));
            }
            try {
                plans.put(id, ChainPlan.of(all));
            } catch (ChainPlan.InvalidPlanException e) {
                throw new AssertionError(e);
            }
            long deadline = now + (50 + random.nextInt(2000)) * MILLIS;
            deadlines.put(id, deadline);
            at(deadline - RESERVE_NANOS / 2, () -> decisions.onDeadline(now, id));
            if (random.nextInt(10) == 0) {
                at(now + random.nextInt(500) * MILLIS, () -> {
                    if (!ends.containsKey(id)) {
                        ends.put(id, new ChainResult(Kind.FAILED, "left", List.of()));
                        decisions.onClientCancelled(now, id);
                    }
                });
            }
            decisions.onChain(now, id, plans.get(id), random.nextBoolean() ? "a" : "b", deadline, null);
        }

        void run() {
            for (Event e = events.poll(); e != null; e = events.poll()) {
                now = e.at();
                e.what().run();
            }
        }
    }

    @Property(tries = 1000, seed = "7", shrinking = ShrinkingMode.OFF)
    void eachChain_getsOneAnswerInTimeAndStartsNothingAfterIt(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int mostSteps, @ForAll boolean early) {
        FakeFleet fleet = new FakeFleet(
                seed,
                new ChainSettings(
                        ChainSettings.Clock.SHARED_DEADLINE,
                        early,
                        5,
                        true,
                        30,
                        mostSteps,
                        0.5,
                        1 << 20,
                        RESERVE_NANOS));
        for (long id = 0; id < 60; id++) {
            long chain = id;
            fleet.at(id * 20 * MILLIS, () -> fleet.begin(chain));
        }
        fleet.run();
        assertEquals(60, fleet.ends.size(), "a chain without an answer");
        assertEquals(0, fleet.decisions.openChains());
        assertEquals(0, fleet.decisions.runningSteps());
        assertEquals(0, fleet.out);
    }

    @Property(tries = 300, seed = "7")
    void chanceInTime_neverFallsWithMoreTime(
            @ForAll @IntRange(max = 1000) int low,
            @ForAll @IntRange(max = 1000) int more,
            @ForAll @IntRange(max = 1000) int most,
            @ForAll @IntRange(max = 5000) int time) {
        LatencyQuantiles quantiles = new LatencyQuantiles(low, low + more, low + more + most);
        double chance = quantiles.within(time);
        assertTrue(chance >= 0 && chance <= 1);
        assertTrue(quantiles.within(time + 1) >= chance);
        assertTrue(quantiles.then(new LatencyQuantiles(1, 2, 3)).within(time) <= chance + 1e-9);
    }
}
