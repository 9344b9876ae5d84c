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
 * Schedules the steps of all chains of one gateway. The class reads as the way of an event; what it decides on stands in
 * collaborators: {@link ChainFeasibility} (is a chain worth starting or continuing), {@link StepLimiter} (may a step start now),
 * {@link ChainTimeEstimator} (how long may it take), {@link FunctionPrefetcher} (what is loaded early).
 *
 * <p>A step may take what is left less the least that the steps after it need (their low estimates along the longest path): a
 * slow step may use up slack, but never what makes the rest hopeless. Acts on any cause of slowness that answers show: queues,
 * loads, slow workers. It may reject too much where times change faster than they are learned; the samples that
 * {@link ChainFeasibility} lets through correct that.
 *
 * <p>Pure: events come in with their time in nanoseconds of one monotonic clock, {@link Actions} go out and may not call back
 * in. One thread. Bounded are chains and steps open, and a tenant's share of the steps. A ready step beyond them waits within its
 * chain, which is bounded by the chain's deadline; chains beyond them are rejected.
 */
public final class ChainScheduler {
    private static final String TOO_MANY_CHAINS = "too-many-chains";
    private static final String FINISHED_BEFORE = "all-steps-finished-before";
    private static final String OUT_OF_TIME = "out-of-time";
    private static final String TOO_MANY_BYTES = "too-many-bytes-held";
    private static final String STEP_REJECTED_PREFIX = "step-refused:";
    private static final String STEP_FAILED_PREFIX = "step-failed:";
    private static final String NO_REASON = "";
    private static final String NO_TENANT = "";

    /** What the gateway has to do. Called in the order of the decisions; must not call back in. */
    public interface Actions {
        /** Starts a step as a call that may take so long; {@link ChainScheduler#onStepCompleted} follows. */
        void startStep(long chain, int step, long mayTakeNanos);

        /** Cancels the call of a step that runs. */
        void cancelStep(long chain, int step);

        /** Tells the policy that a step's function will be wanted, so that it may load it. */
        void prefetch(long chain, int step);

        /** Gives the chain's final answer. */
        void completeChain(long chain, ChainResult end);
    }

    /** What the policy believes of the fleet. */
    @FunctionalInterface
    public interface FleetView {
        /** Whether some worker is believed to have the function loaded. */
        boolean isBelievedWarm(String function);
    }

    /** How a step's call ended. */
    public enum StepEnd {
        /** With an answer. */
        SERVED,
        /** It was rejected and did not run. */
        REJECTED,
        /** It may have run. */
        FAILED
    }

    /** Counters since the start of the process. */
    public enum Counter {
        /** Chains that arrived. */
        CHAINS,
        /** Chains whose steps were all served. */
        SERVED,
        /** Chains of which a retry does no harm, since no step ran that is not idempotent. */
        REFUSED,
        /** Chains that ended otherwise. */
        FAILED,
        /** Chains whose client went away. */
        LEFT,
        /** Chains rejected since too many were open. */
        REFUSED_FULL,
        /** Chains found infeasible when they arrived. */
        REFUSED_AT_START,
        /** Chains found infeasible before a later step. */
        REFUSED_LATER,
        /** Chains found infeasible and let through as samples. */
        LET_THROUGH,
        /** Of the samples, those that were served: the rejection would have been wrong. */
        LET_THROUGH_SERVED,
        /** Functions requested ahead of a step. */
        AHEAD_ORDERED,
        /** Of these, those that were loaded when their step came. */
        AHEAD_USED,
        /** Of these, those that no step used. */
        AHEAD_UNUSED,
        /** Of these, those whose step still had to wait for the load. */
        AHEAD_LATE,
        /** Functions requested for the chains that may follow one that was rejected. */
        AHEAD_FOR_NEXT,
        /** Steps started. */
        STEPS,
        /** Of these, those cancelled. */
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

    /** A scheduler that has learned nothing yet. */
    public ChainScheduler(ChainSettings settings, Actions actions, FleetView fleet) {
        this.settings = settings;
        this.actions = actions;
        this.estimator = new ChainTimeEstimator(settings, fleet);
        this.feasibility = new ChainFeasibility(settings, estimator, concurrencyLimit, counters);
        this.prefetcher = new FunctionPrefetcher(settings.prefetch(), estimator, actions, counters);
        this.stepLimiter = new StepLimiter(settings);
    }

    /** The value of a counter. */
    public long counter(Counter count) {
        return counters.get(count);
    }

    /** Chains open. */
    public int openChains() {
        return chains.size();
    }

    /** Steps that run. */
    public int runningSteps() {
        return stepLimiter.running();
    }

    // ---- Events -----------------------------------------------------------------------------

    /**
     * A chain arrived.
     *
     * @param tenant null where the client named none
     * @param done   by step, whether an earlier attempt of the same chain left its answer, so that it does not run again; null
     *               where there was no earlier attempt
     */
    public void onChain(
            long nowNanos, long chainId, ChainPlan plan, String tenant, long deadlineNanos, boolean[] done) {
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
        markFinishedSteps(chain, done);
        if (chain.isComplete()) {
            end(chain, Kind.SERVED, FINISHED_BEFORE);
        } else if (!rejectIfInfeasible(nowNanos, chain, Stage.AT_START)) {
            for (int step = 0; step < plan.size(); step++) {
                startOrEnqueueIfReady(nowNanos, chain, step);
            }
            startWaitingSteps(nowNanos);
        }
    }

    private static void markFinishedSteps(ActiveChain chain, boolean[] done) {
        if (done == null) {
            return;
        }
        for (int step : chain.plan().order()) {
            if (done[step]) {
                chain.markServed(step);
            }
        }
    }

    /** A step's call ended; {@code loaded} tells whether it had to wait for a load. */
    public void onStepCompleted(long nowNanos, long chainId, int step, StepEnd end, long tookNanos, boolean loaded) {
        ActiveChain chain = chains.get(chainId);
        if (chain == null || chain.state(step) != StepState.RUNNING) {
            return;
        }
        stepLimiter.onStepEnded(chain.tenant());
        feasibility.onStepEnded(end == StepEnd.SERVED);
        String stepId = chain.step(step).id();
        switch (end) {
            case SERVED -> {
                estimator.onStepServed(nowNanos, chain, step, tookNanos, loaded);
                prefetcher.onStepServed(chain, step, loaded);
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

    /** The client went away: its chain is dropped without an answer, and steps that run are cancelled. */
    public void onClientCancelled(long nowNanos, long chainId) {
        ActiveChain chain = chains.get(chainId);
        if (chain != null) {
            counters.increment(Counter.LEFT);
            close(chain);
            startWaitingSteps(nowNanos);
        }
    }

    /** The deadline came, less what the answer needs to reach the client. */
    public void onDeadline(long nowNanos, long chainId) {
        endOpenChain(nowNanos, chainId, OUT_OF_TIME);
    }

    /** The gateway can't hold the chain's answers between steps. */
    public void onResponseBytesExhausted(long nowNanos, long chainId) {
        endOpenChain(nowNanos, chainId, TOO_MANY_BYTES);
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
        boolean isOpen = chains.containsKey(chain.id()); // not where a step started just before found no time left
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
        stepLimiter.drain(this::canStart, waiting -> {
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

    // ---- Ends -------------------------------------------------------------------------------

    /** Ends a chain that is not worth continuing; true where it did. */
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

    /** Ends a chain that is not complete: rejected only where no step may have run that must not run twice. */
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
            concurrencyLimit.onLost(chain.workSpent());
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
