package wharfhinge.policy;

/** Handles overdue attempts: counts them against the worker, and hedges or cancels them. */
final class OverdueAttemptHandler {
    private final DispatcherContext context;
    private final EndpointLeases leases;
    private final EligibilityFilter eligibility;
    private final WorkerRanker ranker;
    private final AdmissionController admission;
    private final OutlierDetector outliers;
    private final RetryBudget retryBudget;
    private final AttemptTracker attempts;
    private final RequestRouter router;

    OverdueAttemptHandler(DispatcherComponents components, RequestRouter router) {
        this.context = components.context;
        this.leases = components.leases;
        this.eligibility = components.eligibility;
        this.ranker = components.ranker;
        this.admission = components.admission;
        this.outliers = components.outliers;
        this.retryBudget = components.retryBudget;
        this.attempts = components.attempts;
        this.router = router;
    }

    /** The attempt's overdue timer is due: if the attempt has no response yet, its worker may hang. */
    void onOverdueTimer(RequestState state, int attemptIndex) {
        Attempt attempt = state.attempts.get(attemptIndex);
        if (attempts.isSettled(attempt) || outliers.isLocalStall(attempt)) {
            return;
        }
        outliers.onOverdue(attempt);
        if (!attempts.mayHedgeOrCancel(attempt)) {
            return;
        }
        state.triedWorkers.add(attempt.worker());
        if (context.settings.limits().hedging()) {
            hedge(state, attempt);
        } else if (context.settings.limits().cancellation()) {
            context.actions.cancelAttempt(state.request.id(), attemptIndex);
        }
    }

    /**
     * Sends the request to another worker while the attempt is still in flight; does nothing if no other worker is
     * eligible, all are saturated, or the other worker's lease would have to be renewed first.
     */
    private void hedge(RequestState state, Attempt attempt) {
        if (eligibility.select(state) && !eligibility.isEligible(attempt.worker()) && !admission.isFleetSaturated()) {
            WorkerState worker = ranker.rank(state);
            if (worker != null && leases.isValid(worker)) {
                retryBudget.spend(1);
                router.send(state, worker);
            }
        }
    }
}
