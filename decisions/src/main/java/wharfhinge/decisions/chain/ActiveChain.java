package wharfhinge.decisions.chain;

import java.util.Arrays;
import java.util.List;
import wharfhinge.decisions.chain.ChainPlan.Step;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.policy.Effect;

/** A chain that has no final answer yet: how far each of its steps is. */
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

    /** A chain that arrives at {@code nowNanos}, no step started. */
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

    /** The tenant, empty where the client named none. */
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

    /** What a step is taken to need at most where nothing is known of its function. */
    long defaultStepNanos() {
        return defaultStepNanos;
    }

    // ---- Steps ------------------------------------------------------------------------------

    StepState state(int step) {
        return states[step];
    }

    /** Whether it has not started and all that it needs is served. */
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

    /** A step ended without an answer, as {@link StepState#REFUSED} or {@link StepState#MAY_HAVE_RUN}. */
    void markNotServed(int step, StepState state) {
        states[step] = state;
    }

    long startedAtNanos(int step) {
        return startedAtNanos[step];
    }

    /** Whether its function was believed to be loaded when it started. */
    boolean wasBelievedWarm(int step) {
        return believedWarm[step];
    }

    /** Whether the load of its function was requested before it could start, and it has not been served since. */
    boolean isPrefetched(int step) {
        return prefetched[step];
    }

    void setPrefetched(int step, boolean isPrefetched) {
        prefetched[step] = isPrefetched;
    }

    // ---- The whole --------------------------------------------------------------------------

    /** Whether it runs although it should have been rejected, to learn how often such rejections are wrong. */
    boolean isRejectionSample() {
        return isRejectionSample;
    }

    void markRejectionSample() {
        isRejectionSample = true;
    }

    /** Whether a retry of the chain does no harm: every step that may have run is idempotent. */
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

    /** The share of its steps, 0 to 1, on which work was spent. */
    double workSpent() {
        long spent = Arrays.stream(states)
                .filter(state -> state != StepState.NOT_STARTED && state != StepState.REFUSED)
                .count();
        return spent / (double) states.length;
    }

    /** The states for its final answer: a step that still runs may have run. */
    List<StepState> finalStates() {
        return Arrays.stream(states)
                .map(state -> state == StepState.RUNNING ? StepState.MAY_HAVE_RUN : state)
                .toList();
    }
}
