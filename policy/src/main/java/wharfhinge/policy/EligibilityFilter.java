package wharfhinge.policy;

import java.util.List;

/**
 * Selects the workers that may get the request being handled. Only the excluded workers are marked, with the generation
 * of the selection, so that a request costs nothing for the other workers.
 */
final class EligibilityFilter {
    /** Ejected workers are excluded as long as at least this share of the fleet remains. */
    private static final double MIN_REMAINING_SHARE = 0.5;

    private final WorkerRegistry registry;
    private final EndpointLeases leases;
    private final FunctionAssignment assignment;
    private final IdempotencyGuard idempotency;
    private final SlowStartBudget slowStart;
    private final OutlierDetector outliers;
    private long generation;
    private int eligibleCount;

    EligibilityFilter(
            WorkerRegistry registry,
            EndpointLeases leases,
            FunctionAssignment assignment,
            IdempotencyGuard idempotency,
            SlowStartBudget slowStart,
            OutlierDetector outliers) {
        this.registry = registry;
        this.leases = leases;
        this.assignment = assignment;
        this.idempotency = idempotency;
        this.slowStart = slowStart;
        this.outliers = outliers;
    }

    /** Whether the worker may get the request that was last passed to {@link #select}. */
    boolean isEligible(WorkerState worker) {
        return worker.up && worker.excludedInGeneration != generation;
    }

    int eligibleCount() {
        return eligibleCount;
    }

    void exclude(WorkerState worker) {
        if (isEligible(worker)) {
            eligibleCount--;
        }
        worker.excludedInGeneration = generation;
    }

    /** Determines which workers may get the request now. Returns whether there are any. */
    boolean select(RequestState state) {
        assignment.refresh();
        generation++;
        eligibleCount = registry.active().size();
        if (leases.mayExclude()) {
            excludeWithoutLease();
        }
        boolean unrestricted =
                registry.restricted().isEmpty() && state.attempts.isEmpty() && state.triedWorkers.isEmpty();
        if (!unrestricted) {
            excludeForbidden(state);
            excludeEjected(state);
            excludeTried(state);
        }
        return eligibleCount > 0;
    }

    /** Excludes workers that have no lease and cannot get one. */
    private void excludeWithoutLease() {
        boolean anyValid = leases.isAnyValid();
        for (WorkerState worker : registry.active()) {
            if (!leases.isUsable(worker, anyValid)) {
                exclude(worker);
            }
        }
    }

    /** Excludes workers to which idempotency or slow start forbids to send the request. */
    private void excludeForbidden(RequestState state) {
        boolean firstSend = state.possiblyExecuted.isEmpty() && !state.finished;
        List<WorkerState> workersToCheck = firstSend ? registry.restricted() : registry.active();
        for (WorkerState worker : workersToCheck) {
            if (!idempotency.maySend(state, worker) || !slowStart.hasToken(worker)) {
                exclude(worker);
            }
        }
    }

    /** Excludes ejected workers, unless too few workers would remain. */
    private void excludeEjected(RequestState state) {
        int ejected = 0;
        for (WorkerState worker : registry.restricted()) {
            if (worker.ejected && isEligible(worker)) {
                ejected++;
            }
        }
        if (ejected == 0 || eligibleCount - ejected < MIN_REMAINING_SHARE * registry.upCount()) {
            return;
        }
        for (WorkerState worker : registry.restricted()) {
            if (outliers.isBlocked(worker, state)) {
                exclude(worker);
            }
        }
    }

    /** Excludes workers that the request was already tried on, unless none would remain. */
    private void excludeTried(RequestState state) {
        int eligibleTried = 0;
        for (WorkerState worker : state.triedWorkers) {
            if (isEligible(worker)) {
                eligibleTried++;
            }
        }
        if (eligibleTried < eligibleCount) {
            state.triedWorkers.forEach(this::exclude);
        }
    }
}
