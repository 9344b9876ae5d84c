package wharfhinge.policy;

/** Acts when an attempt's patience is over: counts it against the worker, and hedges or cancels it. */
final class AttemptPatienceHandler {
    private final DispatcherContext context;
    private final EndpointLeases leases;
    private final EligibilityFilter eligibility;
    private final WorkerRanker ranker;
    private final AdmissionController admission;
    private final OutlierDetector outliers;
    private final RetryBudget retryBudget;
    private final AttemptTracker attempts;
    private final RequestRouter router;

    AttemptPatienceHandler(DispatcherComponents components, RequestRouter router) {
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

    /** No answer within the attempt's patience: its worker may hang. */
    void onElapsed(RequestState state, int attemptIndex) {
        Attempt attempt = state.attempts.get(attemptIndex);
        if (attempts.isSettled(attempt) || outliers.isOwnStall(attempt)) {
            return;
        }
        outliers.onOverdue(attempt);
        if (!attempts.mayReplace(attempt)) {
            return;
        }
        state.triedWorkers.add(attempt.worker());
        if (context.settings.limits().hedging()) {
            hedge(state, attempt);
        } else if (context.settings.limits().cancellation()) {
            context.actions.cancelAttempt(state.request.id(), attemptIndex);
        }
    }

    /** Sends the request to another worker beside the attempt in flight. */
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
