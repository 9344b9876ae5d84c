package wharfhinge.decisions.chain;

import java.util.Arrays;
import java.util.List;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.policy.Effect;

/** A chain that has no final answer yet, with the progress of each of its steps. */
final class ActiveChain {
    private final long id;
    private final ChainPlan plan;
    private final String tenant;
    private final long deadlineNanos;
    private final long totalTimeNanos;
    private final long defaultStepNanos;
    private final StepState[] states;
    private final int[] pendingNeeds;
    private final long[] startedAtNanos;
    private final boolean[] believedWarm;
    private final boolean[] prefetched;
    private int servedSteps;
    private boolean isRejectionSample;

    /** Creates a chain that arrived at {@code nowNanos}, with no step started. */
    ActiveChain(long id, ChainPlan plan, String tenant, long deadlineNanos, long nowNanos) {
        this.id = id;
        this.plan = plan;
        this.tenant = tenant;
        this.deadlineNanos = deadlineNanos;
        this.totalTimeNanos = deadlineNanos - nowNanos;
        this.defaultStepNanos = totalTimeNanos / plan.depth();
        int size = plan.size();
        states = new StepState[size];
        Arrays.fill(states, StepState.NOT_STARTED);
        pendingNeeds = new int[size];
        startedAtNanos = new long[size];
        believedWarm = new boolean[size];
        prefetched = new boolean[size];
        for (int step = 0; step < size; step++) {
            pendingNeeds[step] = plan.needs(step).length;
        }
    }

    long id() {
        return id;
    }

    ChainPlan plan() {
        return plan;
    }

    Step step(int step) {
        return plan.steps().get(step);
    }

    /** The tenant; empty if the client named none. */
    String tenant() {
        return tenant;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Time from the chain's arrival to its deadline. */
    long totalTimeNanos() {
        return totalTimeNanos;
    }

    /** High estimate of a step's time if nothing is known about it: an equal part of the chain's time for each step of the longest path. */
    long defaultStepNanos() {
        return defaultStepNanos;
    }

    // ---- Steps ------------------------------------------------------------------------------

    StepState state(int step) {
        return states[step];
    }

    /** Whether a step has not started and all steps that it needs are served. */
    boolean isReady(int step) {
        return states[step] == StepState.NOT_STARTED && pendingNeeds[step] == 0;
    }

    boolean isComplete() {
        return servedSteps == plan.size();
    }

    void markRunning(int step, long nowNanos, boolean isBelievedWarm) {
        states[step] = StepState.RUNNING;
        startedAtNanos[step] = nowNanos;
        believedWarm[step] = isBelievedWarm;
    }

    void markServed(int step) {
        states[step] = StepState.SERVED;
        servedSteps++;
        for (int dependent : plan.dependents(step)) {
            pendingNeeds[dependent]--;
        }
    }

    /** Records that a step ended without an answer, as {@link StepState#REFUSED} or {@link StepState#MAY_HAVE_RUN}. */
    void markNotServed(int step, StepState state) {
        states[step] = state;
    }

    long startedAtNanos(int step) {
        return startedAtNanos[step];
    }

    /** Whether the function of a step was believed to be loaded when the step started. */
    boolean wasBelievedWarm(int step) {
        return believedWarm[step];
    }

    /** Whether the function of a step was prefetched and the step has not been served since. */
    boolean isPrefetched(int step) {
        return prefetched[step];
    }

    void setPrefetched(int step, boolean isPrefetched) {
        prefetched[step] = isPrefetched;
    }

    // ---- The chain --------------------------------------------------------------------------

    /** Whether the chain was found infeasible but runs as a sample, to learn how often such rejections are wrong. */
    boolean isRejectionSample() {
        return isRejectionSample;
    }

    void markRejectionSample() {
        isRejectionSample = true;
    }

    /** Whether a retry of the chain is safe: every step that may have run is idempotent. */
    boolean isRetrySafe() {
        for (int step = 0; step < states.length; step++) {
            if (mayHaveRun(step) && step(step).effect() != Effect.IDEMPOTENT) {
                return false;
            }
        }
        return true;
    }

    private boolean mayHaveRun(int step) {
        return switch (states[step]) {
            case SERVED, RUNNING, MAY_HAVE_RUN -> true;
            case NOT_STARTED, REFUSED -> false;
        };
    }

    /** Share of the steps, 0 to 1, on which work was spent: those that are running, are served or may have run. */
    double spentWorkShare() {
        long spent = Arrays.stream(states)
                .filter(state -> state != StepState.NOT_STARTED && state != StepState.REFUSED)
                .count();
        return spent / (double) states.length;
    }

    /** The states for the final answer, in which a step that is still running may have run. */
    List<StepState> finalStates() {
        return Arrays.stream(states)
                .map(state -> state == StepState.RUNNING ? StepState.MAY_HAVE_RUN : state)
                .toList();
    }
}
