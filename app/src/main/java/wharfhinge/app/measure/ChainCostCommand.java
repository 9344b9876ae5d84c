package wharfhinge.app.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import wharfhinge.app.Program;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.decisions.chain.ChainScheduler;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.policy.Effect;

/** Measures the processor time of the chain scheduler's decisions, without sockets and without the dispatcher. */
@Command(
        name = "chain-cost",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description =
                "Measures the scheduling decisions on chains of 2, 4, 8 and 16 sequential steps: microseconds per step after warm-up.")
final class ChainCostCommand implements Callable<Integer> {
    private static final long MS = 1_000_000L;
    private static final int WARM_UP_STEPS = 200_000;
    private static final int CHAINS = 100_000;

    @Override
    public Integer call() throws Exception {
        System.out.println("steps  us/step p50     p99   mean");
        for (int steps : new int[] {2, 4, 8, 16}) {
            List<ChainPlan.Step> sequence = new ArrayList<>();
            for (int i = 0; i < steps; i++) {
                sequence.add(new ChainPlan.Step(
                        "s" + i,
                        "f" + i % 200,
                        "c",
                        Effect.IDEMPOTENT,
                        i == 0 ? List.of() : List.of("s" + (i - 1)),
                        0,
                        500 * MS));
            }
            ChainPlan plan = ChainPlan.of(sequence);
            run(plan, WARM_UP_STEPS / steps);
            Histogram cost = run(plan, CHAINS);
            System.out.printf(
                    "%5d  %11.2f %7.2f %6.2f%n",
                    steps,
                    cost.getValueAtPercentile(50) / 1000.0 / steps,
                    cost.getValueAtPercentile(99) / 1000.0 / steps,
                    cost.getMean() / 1000 / steps);
        }
        return Program.OK;
    }

    /** Runs whole chains; each value of the histogram is the time of all decisions on one chain. */
    private static Histogram run(ChainPlan plan, int chains) {
        Histogram cost = new Histogram(10_000_000_000L, 3);
        ChainScheduler scheduler = new ChainScheduler(
                new ChainSettings(ChainSettings.Clock.SHARED_DEADLINE, true, 50, true, 100, 100, 1, 1 << 20, 4 * MS),
                new ChainScheduler.Actions() {
                    @Override
                    public void startStep(long chain, int step, long timeoutNanos) {}

                    @Override
                    public void cancelStep(long chain, int step) {}

                    @Override
                    public void prefetch(long chain, int step) {}

                    @Override
                    public void completeChain(long chain, ChainResult result) {}
                },
                function -> (function.hashCode() & 3) != 0);
        for (long id = 0; id < chains; id++) {
            long now = id * MS;
            long startedAt = System.nanoTime();
            scheduler.onChain(now, id, plan, "t", now + 60_000 * MS, null);
            for (int step = 0; step < plan.size(); step++) {
                scheduler.onStepCompleted(
                        now + (step + 1) * 20 * MS, id, step, StepEnd.SERVED, (10 + id % 40) * MS, id % 7 == 0);
            }
            cost.recordValue(System.nanoTime() - startedAt);
        }
        return cost;
    }
}
