package wharfhinge.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainPlan.InvalidPlanException;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.decisions.chain.ChainScheduler;
import wharfhinge.decisions.chain.ChainScheduler.StepEnd;
import wharfhinge.decisions.chain.ChainSettings;
import wharfhinge.lab.Gateway.Answer;
import wharfhinge.policy.Effect;

/** Chains of one gateway, decided as in the product: each step a call of the gateway, one deadline for all. */
final class Chains implements ChainScheduler.Actions {
    private static final int LET_THROUGH = 20; // as the settings' default
    private static final int MOST_CHAINS = 1000;
    private static final long MOST_BYTES = 1 << 20;
    private static final long RESERVE_NS = 16 * Timeline.MS;

    private record Run(List<String> functions, long deadline, String[] out, Consumer<Answer> to) {}

    private final Timeline time;
    private final Gateway gateway;
    private final ChainScheduler decisions;
    private final Map<Long, Run> runs = new HashMap<>();
    private long number;

    Chains(Timeline time, Gateway gateway) {
        this.time = time;
        this.gateway = gateway;
        this.decisions = new ChainScheduler(
                new ChainSettings(
                        ChainSettings.Clock.SHARED_DEADLINE,
                        true,
                        LET_THROUGH,
                        true,
                        MOST_CHAINS,
                        MOST_CHAINS * ChainPlan.MAX_STEPS,
                        1,
                        MOST_BYTES,
                        RESERVE_NS),
                this,
                gateway::believedWarm);
    }

    /** One function after the other. */
    void begin(List<String> functions, long patienceNanos, long loadMillis, Consumer<Answer> to) {
        List<ChainPlan.Step> steps = new ArrayList<>();
        for (int i = 0; i < functions.size(); i++) {
            steps.add(new ChainPlan.Step(
                    "s" + i,
                    functions.get(i),
                    LabSettings.CLASS,
                    Effect.IDEMPOTENT,
                    i == 0 ? List.of() : List.of("s" + (i - 1)),
                    0,
                    loadMillis * Timeline.MS));
        }
        long id = number++;
        long deadline = time.now() + patienceNanos;
        runs.put(id, new Run(functions, deadline, new String[functions.size()], to));
        time.after(patienceNanos - RESERVE_NS / 2, () -> decisions.onDeadline(time.now(), id));
        try {
            decisions.onChain(time.now(), id, ChainPlan.of(steps), null, deadline, null);
        } catch (InvalidPlanException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The gateway's process ends. */
    void kill() {
        runs.values().forEach(r -> r.to.accept(new Answer(Answer.Kind.FAILED, 0, false, 0)));
        runs.clear();
    }

    @Override
    public void startStep(long chain, int step, long mayTakeNanos) {
        Run run = runs.get(chain);
        long began = time.now();
        run.out[step] = gateway.call(
                run.functions.get(step),
                mayTakeNanos,
                answer -> time.after(0, () -> {
                    if (runs.containsKey(chain)) {
                        run.out[step] = null;
                        decisions.onStepCompleted(
                                time.now(),
                                chain,
                                step,
                                switch (answer.kind()) {
                                    case SERVED -> StepEnd.SERVED;
                                    case REFUSED -> StepEnd.REJECTED;
                                    default -> StepEnd.FAILED;
                                },
                                time.now() - began,
                                answer.loaded());
                    }
                }));
    }

    @Override
    public void cancelStep(long chain, int step) {
        Run run = runs.get(chain);
        if (run.out[step] != null) {
            gateway.leave(run.out[step]);
            run.out[step] = null;
        }
    }

    @Override
    public void prefetch(long chain, int step) {
        Run run = runs.get(chain);
        gateway.expect(run.functions.get(step), run.deadline - time.now());
    }

    @Override
    public void completeChain(long chain, ChainResult end) {
        Answer.Kind kind =
                switch (end.kind()) {
                    case SERVED -> Answer.Kind.SERVED;
                    case REFUSED -> Answer.Kind.REFUSED;
                    case FAILED -> Answer.Kind.FAILED;
                };
        runs.remove(chain).to.accept(new Answer(kind, 0, false, 0));
    }
}
