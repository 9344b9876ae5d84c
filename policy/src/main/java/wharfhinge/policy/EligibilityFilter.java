package wharfhinge.policy;

import java.util.List;

/**
 * Selects the workers that may get the request being handled. Each selection has a number, its generation, and marks
 * the workers that it excludes with that number. Marks of earlier generations have no effect, so that they need not be
 * removed for each request.
 */
final class EligibilityFilter {
    /** Share of the workers that are up which must remain eligible; otherwise no ejected worker is excluded. */
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

    /** Excludes workers whose lease is revoked, or is not valid and cannot be renewed by a query. */
    private void excludeWithoutLease() {
        boolean anyValid = leases.isAnyValid();
        for (WorkerState worker : registry.active()) {
            if (!leases.isUsable(worker, anyValid)) {
                exclude(worker);
            }
        }
    }

    /** Excludes workers that must not get the request because of its effect or their slow start. */
    private void excludeForbidden(RequestState state) {
        boolean firstSend = state.possiblyExecuted.isEmpty() && !state.finished;
        List<WorkerState> workersToCheck = firstSend ? registry.restricted() : registry.active();
        for (WorkerState worker : workersToCheck) {
            if (!idempotency.maySend(state, worker) || !slowStart.hasToken(worker)) {
                exclude(worker);
            }
        }
    }

    /** Excludes ejected workers that are not due for a trial by this request, unless too few workers would remain. */
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
