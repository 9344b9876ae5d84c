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

/**
 * Runs the chains of one simulated gateway with the real chain scheduler: each step is a call of the gateway, and all steps share one
 * deadline.
 */
final class Chains implements ChainScheduler.Actions {
    private static final int REJECTIONS_PER_SAMPLE = 20; // the default of the settings
    private static final int MAX_CHAINS = 1000;
    private static final long MAX_HELD_BYTES = 1 << 20;
    private static final long DEADLINE_RESERVE_NANOS = 16 * Timeline.MS;

    private record RunningChain(
            List<String> functions, long deadline, String[] stepCallIds, Consumer<Answer> onAnswer) {}

    private final Timeline time;
    private final Gateway gateway;
    private final ChainScheduler scheduler;
    private final Map<Long, RunningChain> chains = new HashMap<>();
    private long nextChainId;

    Chains(Timeline time, Gateway gateway) {
        this.time = time;
        this.gateway = gateway;
        this.scheduler = new ChainScheduler(
                new ChainSettings(
                        ChainSettings.Clock.SHARED_DEADLINE,
                        true,
                        REJECTIONS_PER_SAMPLE,
                        true,
                        MAX_CHAINS,
                        MAX_CHAINS * ChainPlan.MAX_STEPS,
                        1,
                        MAX_HELD_BYTES,
                        DEADLINE_RESERVE_NANOS),
                this,
                gateway::isBelievedCached);
    }

    /** Starts a chain that runs the functions one after the other. */
    void start(List<String> functions, long timeoutNanos, long loadMillis, Consumer<Answer> onAnswer) {
        List<ChainPlan.Step> steps = new ArrayList<>();
        for (int i = 0; i < functions.size(); i++) {
            steps.add(new ChainPlan.Step(
                    "s" + i,
                    functions.get(i),
                    LabSettings.REQUEST_CLASS,
                    Effect.IDEMPOTENT,
                    i == 0 ? List.of() : List.of("s" + (i - 1)),
                    0,
                    loadMillis * Timeline.MS));
        }
        long id = nextChainId++;
        long deadline = time.now() + timeoutNanos;
        chains.put(id, new RunningChain(functions, deadline, new String[functions.size()], onAnswer));
        time.after(timeoutNanos - DEADLINE_RESERVE_NANOS / 2, () -> scheduler.onDeadline(time.now(), id));
        try {
            scheduler.onChain(time.now(), id, ChainPlan.of(steps), null, deadline, null);
        } catch (InvalidPlanException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Fails all open chains, because the process of the gateway ends. */
    void kill() {
        chains.values().forEach(r -> r.onAnswer.accept(new Answer(Answer.Kind.FAILED, 0, false, 0)));
        chains.clear();
    }

    @Override
    public void startStep(long chain, int step, long stepTimeoutNanos) {
        RunningChain running = chains.get(chain);
        long startedAt = time.now();
        running.stepCallIds[step] = gateway.call(
                running.functions.get(step),
                stepTimeoutNanos,
                answer -> time.after(0, () -> {
                    if (chains.containsKey(chain)) {
                        running.stepCallIds[step] = null;
                        scheduler.onStepCompleted(
                                time.now(),
                                chain,
                                step,
                                switch (answer.kind()) {
                                    case SERVED -> StepEnd.SERVED;
                                    case REJECTED -> StepEnd.REJECTED;
                                    default -> StepEnd.FAILED;
                                },
                                time.now() - startedAt,
                                answer.loaded());
                    }
                }));
    }

    @Override
    public void cancelStep(long chain, int step) {
        RunningChain running = chains.get(chain);
        if (running.stepCallIds[step] != null) {
            gateway.cancelCall(running.stepCallIds[step]);
            running.stepCallIds[step] = null;
        }
    }

    @Override
    public void prefetch(long chain, int step) {
        RunningChain running = chains.get(chain);
        gateway.announceRequest(running.functions.get(step), running.deadline - time.now());
    }

    @Override
    public void completeChain(long chain, ChainResult result) {
        Answer.Kind kind =
                switch (result.kind()) {
                    case SERVED -> Answer.Kind.SERVED;
                    case REFUSED -> Answer.Kind.REJECTED;
                    case FAILED -> Answer.Kind.FAILED;
                };
        chains.remove(chain).onAnswer.accept(new Answer(kind, 0, false, 0));
    }
}
