package wharfhinge.decisions.chain;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import wharfhinge.decisions.chain.ChainFeasibility.Stage;
import wharfhinge.decisions.chain.ChainResult.Kind;
import wharfhinge.decisions.chain.ChainResult.StepState;
import wharfhinge.decisions.chain.StepLimiter.WaitingStep;

/**
 * Schedules the steps of all chains of one gateway. This class handles the events; its collaborators decide: {@link ChainFeasibility}
 * (whether a chain is worth starting or continuing), {@link StepLimiter} (whether a step may start now), {@link ChainTimeEstimator}
 * (how long a step may take) and {@link FunctionPrefetcher} (which functions are loaded early).
 *
 * <p>The time budget of a step is the time left in its chain, less the minimum that the later steps need (their low estimates along
 * the longest path). A slow step may thus use up slack, but not the time without which the rest of the chain is hopeless. This covers
 * every cause of slowness that shows in response times: queues, loads, slow workers. If times change faster than they are learned,
 * too many chains may be rejected; the samples that {@link ChainFeasibility} lets through correct that.
 *
 * <p>No I/O, clock or thread: events are passed in with their time in nanoseconds of one monotonic clock, and decisions are carried
 * out by {@link Actions}, which must not call the scheduler. Not thread-safe. The numbers of open chains and of running steps are
 * bounded, and so is each tenant's share of the running steps. A ready step beyond a bound waits within its chain, at most until the
 * chain's deadline; a chain beyond the limit of open chains is rejected.
 */
public final class ChainScheduler {
    private static final String TOO_MANY_CHAINS = "too-many-chains";
    private static final String ALL_STEPS_FINISHED_BEFORE = "all-steps-finished-before";
    private static final String OUT_OF_TIME = "out-of-time";
    private static final String TOO_MANY_BYTES_HELD = "too-many-bytes-held";
    private static final String STEP_REJECTED_PREFIX = "step-refused:";
    private static final String STEP_FAILED_PREFIX = "step-failed:";
    private static final String NO_REASON = "";
    private static final String NO_TENANT = "";

    /** Operations that the gateway carries out. Called in the order of the decisions; must not call the scheduler. */
    public interface Actions {
        /** Starts a step as a call with a time budget; {@link ChainScheduler#onStepCompleted} follows. */
        void startStep(long chain, int step, long budgetNanos);

        /** Cancels the call of a running step. */
        void cancelStep(long chain, int step);

        /** Tells the policy that a step's function will be needed, so that the policy may order its load. */
        void prefetch(long chain, int step);

        /** Delivers the chain's final answer. */
        void completeChain(long chain, ChainResult result);
    }

    /** The policy's current view of the fleet. */
    @FunctionalInterface
    public interface FleetView {
        /** Whether some worker is believed to have the function loaded. */
        boolean isBelievedWarm(String function);
    }

    /** How a step's call ended. */
    public enum StepEnd {
        /** The call was answered. */
        SERVED,
        /** The call was rejected and did not run. */
        REJECTED,
        /** The call failed and may have run. */
        FAILED
    }

    /** Counters since the start of the process. */
    public enum Counter {
        /** Chains that arrived. */
        CHAINS,
        /** Chains whose steps were all served. */
        SERVED,
        /** Chains not served that are safe to retry, since every step that may have run is idempotent. */
        REFUSED,
        /** Chains not served in which at least one step that is not idempotent may have run. */
        FAILED,
        /** Chains cancelled by their client. */
        LEFT,
        /** Chains rejected because {@link ChainSettings#maxChains} chains were open. */
        REFUSED_FULL,
        /** Chains rejected on arrival: unlikely to meet their deadline, or too many open for the fleet. */
        REFUSED_AT_START,
        /** Chains rejected as unlikely to meet their deadline at a check after the one on arrival. */
        REFUSED_LATER,
        /** Chains let through as samples in place of a rejection on arrival or later. */
        LET_THROUGH,
        /** Samples that were served, so that their rejection would have been wrong. */
        LET_THROUGH_SERVED,
        /** Functions prefetched for a later step. */
        AHEAD_ORDERED,
        /** Prefetched functions that were loaded when their step ran. */
        AHEAD_USED,
        /** Prefetched functions that no step used. */
        AHEAD_UNUSED,
        /** Prefetched functions whose step still had to wait for the load. */
        AHEAD_LATE,
        /** Functions prefetched for chains that may follow a rejected one. */
        AHEAD_FOR_NEXT,
        /** Steps started. */
        STEPS,
        /** Started steps that were cancelled. */
        STEPS_CANCELLED
    }

    private final ChainSettings settings;
    private final Actions actions;
    private final ChainCounters counters = new ChainCounters();
    private final ChainConcurrencyLimit concurrencyLimit = new ChainConcurrencyLimit();
    private final ChainTimeEstimator estimator;
    private final ChainFeasibility feasibility;
    private final FunctionPrefetcher prefetcher;
    private final StepLimiter stepLimiter;
    private final Map<Long, ActiveChain> chains = new HashMap<>();

    /** Creates a scheduler that has learned nothing yet. */
    public ChainScheduler(ChainSettings settings, Actions actions, FleetView fleet) {
        this.settings = settings;
        this.actions = actions;
        this.estimator = new ChainTimeEstimator(settings, fleet);
        this.feasibility = new ChainFeasibility(settings, estimator, concurrencyLimit, counters);
        this.prefetcher = new FunctionPrefetcher(settings.prefetch(), estimator, actions, counters);
        this.stepLimiter = new StepLimiter(settings);
    }

    /** The value of a counter. */
    public long counter(Counter counter) {
        return counters.get(counter);
    }

    /** Number of open chains. */
    public int openChains() {
        return chains.size();
    }

    /** Number of running steps. */
    public int runningSteps() {
        return stepLimiter.running();
    }

    // ---- Events -----------------------------------------------------------------------------

    /**
     * Handles the arrival of a chain.
     *
     * @param tenant        null if the client named none
     * @param finishedSteps by step, whether its answer is known from an earlier attempt of the same chain, so that it does not run
     *                      again; null if there was no earlier attempt
     */
    public void onChain(
            long nowNanos, long chainId, ChainPlan plan, String tenant, long deadlineNanos, boolean[] finishedSteps) {
        counters.increment(Counter.CHAINS);
        ActiveChain chain =
                new ActiveChain(chainId, plan, tenant == null ? NO_TENANT : tenant, deadlineNanos, nowNanos);
        if (chains.size() >= settings.maxChains()) {
            counters.increment(Counter.REFUSED_FULL);
            counters.increment(Counter.REFUSED);
            actions.completeChain(chainId, new ChainResult(Kind.REFUSED, TOO_MANY_CHAINS, chain.finalStates()));
            return;
        }
        chains.put(chainId, chain);
        markFinishedSteps(chain, finishedSteps);
        if (chain.isComplete()) {
            end(chain, Kind.SERVED, ALL_STEPS_FINISHED_BEFORE);
        } else if (!rejectIfInfeasible(nowNanos, chain, Stage.AT_START)) {
            for (int step = 0; step < plan.size(); step++) {
                startOrEnqueueIfReady(nowNanos, chain, step);
            }
            startWaitingSteps(nowNanos);
        }
    }

    private static void markFinishedSteps(ActiveChain chain, boolean[] finishedSteps) {
        if (finishedSteps == null) {
            return;
        }
        for (int step : chain.plan().order()) {
            if (finishedSteps[step]) {
                chain.markServed(step);
            }
        }
    }

    /**
     * Handles the end of a step's call.
     *
     * @param latencyNanos duration of the call
     * @param isColdStart  whether the call had to wait for a load
     */
    public void onStepCompleted(
            long nowNanos, long chainId, int step, StepEnd end, long latencyNanos, boolean isColdStart) {
        ActiveChain chain = chains.get(chainId);
        if (chain == null || chain.state(step) != StepState.RUNNING) {
            return;
        }
        stepLimiter.onStepEnded(chain.tenant());
        feasibility.onStepEnded(end == StepEnd.SERVED);
        String stepId = chain.step(step).id();
        switch (end) {
            case SERVED -> {
                estimator.onStepServed(nowNanos, chain, step, latencyNanos, isColdStart);
                prefetcher.onStepServed(chain, step, isColdStart);
                chain.markServed(step);
                continueAfter(nowNanos, chain, step);
            }
            case REJECTED -> {
                chain.markNotServed(step, StepState.REFUSED);
                endEarly(chain, STEP_REJECTED_PREFIX + stepId);
            }
            case FAILED -> {
                chain.markNotServed(step, StepState.MAY_HAVE_RUN);
                endEarly(chain, STEP_FAILED_PREFIX + stepId);
            }
        }
        startWaitingSteps(nowNanos);
    }

    /** The client cancelled a chain: it is dropped without an answer, and its running steps are cancelled. */
    public void onClientCancelled(long nowNanos, long chainId) {
        ActiveChain chain = chains.get(chainId);
        if (chain != null) {
            counters.increment(Counter.LEFT);
            close(chain);
            startWaitingSteps(nowNanos);
        }
    }

    /** The deadline of a chain was reached, less the time that the answer needs to reach the client. */
    public void onDeadline(long nowNanos, long chainId) {
        endOpenChain(nowNanos, chainId, OUT_OF_TIME);
    }

    /** The gateway cannot hold the answers of a chain's steps for the steps that need them. */
    public void onResponseBytesExhausted(long nowNanos, long chainId) {
        endOpenChain(nowNanos, chainId, TOO_MANY_BYTES_HELD);
    }

    private void endOpenChain(long nowNanos, long chainId, String reason) {
        ActiveChain chain = chains.get(chainId);
        if (chain != null) {
            endEarly(chain, reason);
            startWaitingSteps(nowNanos);
        }
    }

    // ---- Steps ------------------------------------------------------------------------------

    private void continueAfter(long nowNanos, ActiveChain chain, int step) {
        if (chain.isComplete()) {
            end(chain, Kind.SERVED, NO_REASON);
            return;
        }
        int[] dependents = chain.plan().dependents(step);
        boolean isAnyReady = Arrays.stream(dependents).anyMatch(chain::isReady);
        if (isAnyReady && !rejectIfInfeasible(nowNanos, chain, Stage.LATER)) {
            for (int dependent : dependents) {
                startOrEnqueueIfReady(nowNanos, chain, dependent);
            }
        }
    }

    private void startOrEnqueueIfReady(long nowNanos, ActiveChain chain, int step) {
        boolean isOpen = chains.containsKey(chain.id()); // false if another step was just found to have no time left
        if (!isOpen || !chain.isReady(step)) {
            return;
        }
        if (stepLimiter.hasCapacity(chain.tenant())) {
            start(nowNanos, chain, step);
        } else {
            stepLimiter.enqueue(chain, step);
        }
    }

    private void startWaitingSteps(long nowNanos) {
        stepLimiter.startWaiting(this::canStart, waiting -> {
            if (!rejectIfInfeasible(nowNanos, waiting.chain(), Stage.LATER)) {
                start(nowNanos, waiting.chain(), waiting.step());
            }
        });
    }

    private boolean canStart(WaitingStep waiting) {
        return waiting.chain().isReady(waiting.step())
                && chains.containsKey(waiting.chain().id());
    }

    private void start(long nowNanos, ActiveChain chain, int step) {
        long budgetNanos = estimator.stepBudgetNanos(nowNanos, chain, step);
        if (budgetNanos <= 0) {
            endEarly(chain, OUT_OF_TIME);
            return;
        }
        chain.markRunning(step, nowNanos, estimator.isBelievedWarm(chain.step(step)));
        stepLimiter.onStepStarted(chain.tenant());
        counters.increment(Counter.STEPS);
        actions.startStep(chain.id(), step, budgetNanos);
        prefetcher.onStepStarted(nowNanos, chain, step);
    }

    // ---- Ends of chains -------------------------------------------------------------------------------

    /** Ends a chain that is not worth starting or continuing; returns whether it did. */
    private boolean rejectIfInfeasible(long nowNanos, ActiveChain chain, Stage stage) {
        Optional<String> reason = feasibility.rejectionReason(nowNanos, chain, chains.size(), stage);
        if (reason.isEmpty()) {
            return false;
        }
        counters.increment(stage == Stage.AT_START ? Counter.REFUSED_AT_START : Counter.REFUSED_LATER);
        prefetcher.onChainRejected(chain);
        endEarly(chain, reason.get());
        return true;
    }

    /** Ends an incomplete chain: as rejected if every step that may have run is idempotent, otherwise as failed. */
    private void endEarly(ActiveChain chain, String reason) {
        end(chain, chain.isRetrySafe() ? Kind.REFUSED : Kind.FAILED, reason);
    }

    private void end(ActiveChain chain, Kind kind, String reason) {
        counters.increment(
                switch (kind) {
                    case SERVED -> Counter.SERVED;
                    case REFUSED -> Counter.REFUSED;
                    case FAILED -> Counter.FAILED;
                });
        if (kind == Kind.SERVED) {
            concurrencyLimit.onServed(chains.size());
        } else {
            concurrencyLimit.onLost(chain.spentWorkShare());
        }
        if (kind == Kind.SERVED && chain.isRejectionSample()) {
            counters.increment(Counter.LET_THROUGH_SERVED);
        }
        close(chain);
        actions.completeChain(chain.id(), new ChainResult(kind, reason, chain.finalStates()));
    }

    private void close(ActiveChain chain) {
        chains.remove(chain.id());
        prefetcher.onChainClosed(chain);
        for (int step = 0; step < chain.plan().size(); step++) {
            if (chain.state(step) == StepState.RUNNING) {
                stepLimiter.onStepEnded(chain.tenant());
                counters.increment(Counter.STEPS_CANCELLED);
                actions.cancelStep(chain.id(), step);
            }
        }
    }
}
