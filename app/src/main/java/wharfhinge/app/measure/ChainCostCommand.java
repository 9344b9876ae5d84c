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

/** What the decisions on a chain cost, without sockets and without the policy. */
@Command(
        name = "chain-cost",
        mixinStandardHelpOptions = true,
        versionProvider = Program.Version.class,
        description = "Measures the decisions on chains of 2, 4, 8 and 16 steps in a row: microseconds a step, warm.")
final class ChainCostCommand implements Callable<Integer> {
    private static final long MS = 1_000_000L;
    private static final int WARM_UP = 200_000;
    private static final int CHAINS = 100_000;

    @Override
    public Integer call() throws Exception {
        System.out.println("steps  us/step p50     p99   mean");
        for (int steps : new int[] {2, 4, 8, 16}) {
            List<ChainPlan.Step> row = new ArrayList<>();
            for (int i = 0; i < steps; i++) {
                row.add(new ChainPlan.Step(
                        "s" + i,
                        "f" + i % 200,
                        "c",
                        Effect.IDEMPOTENT,
                        i == 0 ? List.of() : List.of("s" + (i - 1)),
                        0,
                        500 * MS));
            }
            ChainPlan plan = ChainPlan.of(row);
            run(plan, WARM_UP / steps);
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

    /** Whole chains from begin to end; each histogram value is one chain's time. */
    private static Histogram run(ChainPlan plan, int chains) {
        Histogram cost = new Histogram(10_000_000_000L, 3);
        ChainScheduler decisions = new ChainScheduler(
                new ChainSettings(ChainSettings.Clock.SHARED_DEADLINE, true, 50, true, 100, 100, 1, 1 << 20, 4 * MS),
                new ChainScheduler.Actions() {
                    @Override
                    public void startStep(long chain, int step, long mayTakeNanos) {}

                    @Override
                    public void cancelStep(long chain, int step) {}

                    @Override
                    public void prefetch(long chain, int step) {}

                    @Override
                    public void completeChain(long chain, ChainResult end) {}
                },
                function -> (function.hashCode() & 3) != 0);
        for (long id = 0; id < chains; id++) {
            long now = id * MS;
            long began = System.nanoTime();
            decisions.onChain(now, id, plan, "t", now + 60_000 * MS, null);
            for (int step = 0; step < plan.size(); step++) {
                decisions.onStepCompleted(
                        now + (step + 1) * 20 * MS, id, step, StepEnd.SERVED, (10 + id % 40) * MS, id % 7 == 0);
            }
            cost.recordValue(System.nanoTime() - began);
        }
        return cost;
    }
}
