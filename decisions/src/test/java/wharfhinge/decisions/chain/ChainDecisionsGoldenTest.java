package wharfhinge.decisions.chain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainScheduler.Counter;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.policy.Effect;

/**
 * Checks the exact sequence of actions and counters for random sequences of events against a recorded digest. Enums enter the digest
 * by ordinal, so renaming a constant does not change it. A refactoring must leave the digest unchanged; a change of the decisions
 * replaces it and says so in its commit.
 */
class ChainDecisionsGoldenTest {
    private static final String EXPECTED_DIGEST = "7bf455ee171519b5d1325431419f90a8f79d886d890db0db306bf412da5a5f2f";
    private static final long MILLIS = 1_000_000L;
    private static final int SEEDS = 200;
    private static final int EVENTS = 400;

    private record RunningStep(long chain, int step, long startedAt) {}

    /** Adds each action as text to the digest and remembers which steps are running. */
    private static final class FakeGateway implements ChainScheduler.Actions {
        private final MessageDigest digest;
        private final Set<RunningStep> running = new LinkedHashSet<>();
        private final Map<Long, Integer> openSteps = new HashMap<>();
        private final Set<Long> open = new LinkedHashSet<>();
        private long now;

        FakeGateway(MessageDigest digest) {
            this.digest = digest;
        }

        private void record(String action) {
            digest.update((action + "\n").getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void startStep(long chain, int step, long budgetNanos) {
            running.add(new RunningStep(chain, step, now));
            record("start " + chain + "/" + step + " " + budgetNanos);
        }

        @Override
        public void cancelStep(long chain, int step) {
            running.removeIf(runningStep -> runningStep.chain == chain && runningStep.step == step);
            record("cancel " + chain + "/" + step);
        }

        @Override
        public void prefetch(long chain, int step) {
            record("expect " + chain + "/" + step);
        }

        @Override
        public void completeChain(long chain, ChainResult result) {
            open.remove(chain);
            record("end " + chain + " " + result.kind().ordinal() + " " + result.reason() + " "
                    + result.steps().stream().map(Enum::ordinal).toList());
        }
    }

    @Test
    void actionsOfRandomEventSequences_matchTheRecordedDigest() throws Exception {
        MessageDigest digest = MessageDigest.getInstance("SHA-256");
        for (int seed = 0; seed < SEEDS; seed++) {
            runRandomSequence(new Random(seed), new FakeGateway(digest));
        }
        assertEquals(EXPECTED_DIGEST, HexFormat.of().formatHex(digest.digest()));
    }

    private static void runRandomSequence(Random random, FakeGateway gateway) throws Exception {
        ChainSettings settings = new ChainSettings(
                random.nextInt(8) == 0 ? ChainSettings.Clock.DEADLINE_PER_STEP : ChainSettings.Clock.SHARED_DEADLINE,
                random.nextInt(4) > 0,
                random.nextInt(3) * 3,
                random.nextInt(4) > 0,
                5 + random.nextInt(60),
                1 + random.nextInt(40),
                random.nextDouble(),
                1 << 20,
                4 * MILLIS);
        Set<String> warm = new LinkedHashSet<>();
        ChainScheduler scheduler = new ChainScheduler(settings, gateway, warm::contains);
        for (int event = 0; event < EVENTS; event++) {
            gateway.now += random.nextInt(40) * MILLIS;
            String function = "f" + random.nextInt(6);
            if (!warm.remove(function)) {
                warm.add(function);
            }
            applyRandomEvent(random, scheduler, gateway, event);
            gateway.record(scheduler.openChains() + " " + scheduler.runningSteps());
        }
        for (Counter counter : Counter.values()) {
            gateway.record(counter.ordinal() + " " + scheduler.counter(counter));
        }
    }

    private static void applyRandomEvent(Random random, ChainScheduler scheduler, FakeGateway gateway, int id)
            throws Exception {
        long now = gateway.now;
        switch (random.nextInt(24)) {
            case 0 -> scheduler.onClientCancelled(now, random.nextInt(id + 1));
            case 1 -> scheduler.onDeadline(now, random.nextInt(id + 1));
            case 2 -> scheduler.onResponseBytesExhausted(now, random.nextInt(id + 1));
            case 3, 4, 5, 6, 7, 8, 9 -> {
                ChainPlan plan = plan(random);
                boolean[] finishedSteps = new boolean[plan.size()];
                if (random.nextInt(6) == 0) {
                    for (int step = 0; step < finishedSteps.length; step++) {
                        finishedSteps[step] = random.nextBoolean();
                    }
                }
                String tenant = random.nextInt(5) == 0 ? null : "t" + random.nextInt(3);
                scheduler.onChain(
                        now,
                        id,
                        plan,
                        tenant,
                        now + random.nextInt(3000) * MILLIS,
                        random.nextBoolean() ? finishedSteps : null);
            }
            default -> {
                if (!gateway.running.isEmpty()) {
                    RunningStep ended = gateway.running.stream()
                            .skip(random.nextInt(gateway.running.size()))
                            .findFirst()
                            .orElseThrow();
                    gateway.running.remove(ended);
                    int kind = random.nextInt(16);
                    StepEnd end = kind == 0 ? StepEnd.FAILED : kind == 1 ? StepEnd.REJECTED : StepEnd.SERVED;
                    scheduler.onStepCompleted(
                            now, ended.chain, ended.step, end, now - ended.startedAt, random.nextInt(4) == 0);
                }
            }
        }
    }

    private static ChainPlan plan(Random random) throws ChainPlan.InvalidPlanException {
        List<Step> steps = new ArrayList<>();
        int size = 1 + random.nextInt(8);
        for (int step = 0; step < size; step++) {
            List<String> needs = new ArrayList<>();
            for (int earlier = 0; earlier < step; earlier++) {
                if (random.nextInt(3) == 0) {
                    needs.add("s" + earlier);
                }
            }
            steps.add(new Step(
                    "s" + step,
                    "f" + random.nextInt(6),
                    "c",
                    random.nextInt(4) == 0 ? Effect.AT_MOST_ONCE : Effect.IDEMPOTENT,
                    needs,
                    random.nextInt(3) * 30 * MILLIS,
                    random.nextInt(2) * 500 * MILLIS));
        }
        return ChainPlan.of(steps);
    }
}
