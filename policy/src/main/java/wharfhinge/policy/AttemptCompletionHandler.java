package wharfhinge.policy;

/**
 * Passes the outcome of an attempt to the classes that keep state about it, then ends the request, sends it again, or
 * lets it wait for a load.
 */
final class AttemptCompletionHandler {
    private final DispatcherContext context;
    private final EndpointLeases leases;
    private final FunctionCacheIndex cache;
    private final FunctionAssignment assignment;
    private final ConcurrencyLimiter limiter;
    private final LoadReportTracker loadReports;
    private final LoadScheduler loads;
    private final AdmissionController admission;
    private final OutlierDetector outliers;
    private final IdempotencyGuard idempotency;
    private final RetryBudget retryBudget;
    private final AttemptTracker attempts;
    private final RequestQueue queue;
    private final RequestRouter router;

    AttemptCompletionHandler(DispatcherComponents components, RequestRouter router) {
        this.context = components.context;
        this.leases = components.leases;
        this.cache = components.cache;
        this.assignment = components.assignment;
        this.limiter = components.limiter;
        this.loadReports = components.loadReports;
        this.loads = components.loads;
        this.admission = components.admission;
        this.outliers = components.outliers;
        this.idempotency = components.idempotency;
        this.retryBudget = components.retryBudget;
        this.attempts = components.attempts;
        this.queue = components.queue;
        this.router = router;
    }

    void onCompleted(Attempt attempt, AttemptCompletion completion) {
        RequestState state = attempt.state();
        loadReports.onReport(attempt.worker(), completion.report());
        attempts.onCompleted(attempt, completion);
        updateCache(attempt, completion);
        if (leases.onWorkEnded(attempt.worker(), completion.outcome(), attempt.sentAt())) {
            router.dropPendingLoads(attempt.worker());
        }
        admission.onAttemptCompleted(attempt, completion);
        outliers.onAttemptCompleted(attempt, completion);
        if (completion.answered() || state.finished) {
            router.finish(state);
        } else if (state.attemptsInFlight.isEmpty() && !state.streaming) {
            retry(attempt, completion);
        }
    }

    /** Updates the cache entry of the attempt's function on its worker. */
    private void updateCache(Attempt attempt, AttemptCompletion completion) {
        CachedFunction cached =
                attempt.worker().cachedFunctions.get(attempt.state().function());
        if (cached == null) {
            return;
        }
        cached.inFlight = Math.max(0, cached.inFlight - 1);
        if (completion.cacheStatus() == CacheStatus.LOAD_FAILED || invalidatesCopy(completion.outcome())) {
            router.drop(cached);
        } else if (completion.outcome() == Outcome.SERVED) {
            cached.loading = cached.loadOrdered;
            if (completion.cacheStatus() == CacheStatus.HIT) {
                cached.lastUsedAt = context.now;
            }
            if (completion.cacheStatus() == CacheStatus.LOAD_STARTED && !mayKeepCopy(cached.worker, cached.function)) {
                router.drop(cached);
            }
        }
    }

    /**
     * Whether the cache entry is to be removed, since the outcome (a timeout, a cancellation, a superseded attempt or a
     * miss) does not show that the worker has a copy; never where functions are loaded by order only. The next send then
     * counts as a load.
     *
     * <p>Departure from the source design: a connection failure says nothing about copies or the package store, so the
     * cache entry is kept. It acts on connections refused or reset and on leases that expired before the write, and
     * guards against networks that reset connections, where all copies would be considered lost. It may hurt where a
     * worker restarts before the endpoint list says so: one more load.
     */
    private boolean invalidatesCopy(Outcome outcome) {
        return !context.loadsOnlyByOrder
                && outcome != Outcome.SERVED
                && outcome != Outcome.ERROR
                && outcome != Outcome.SATURATED
                && !AttemptTracker.isConnectionFailure(outcome);
    }

    /**
     * Whether a copy may stay on the worker or be loaded there again: the worker has memory left, or the function
     * belongs on it.
     */
    private boolean mayKeepCopy(WorkerState worker, String function) {
        return assignment.hasMemoryFor(worker, 0) || assignment.belongsOn(worker, function);
    }

    /** After a failed attempt, lets the request wait for a load, sends it again, or ends it. */
    private void retry(Attempt attempt, AttemptCompletion completion) {
        RequestState state = attempt.state();
        WorkerState worker = attempt.worker();
        String function = state.function();
        boolean missed = context.loadsOnlyByOrder
                && completion.outcome() == Outcome.NOT_LOADED
                && completion.cacheStatus() != CacheStatus.LOAD_FAILED;
        if (missed && !hasOtherCopy(function, worker) && worker.up && mayKeepCopy(worker, function)) {
            loadAndWait(state, worker);
            return;
        }
        state.triedWorkers.add(worker);
        if (missed && cache.isLoaded(worker, function)) {
            router.drop(worker.cachedFunctions.get(function));
        }
        double cost = missed || completion.outcome() == Outcome.LEASE_EXPIRED ? 0 : 1;
        if (completion.outcome() != Outcome.SUPERSEDED
                && retryBudget.canSpend(cost)
                && idempotency.mayRetryLater(state)) {
            retryBudget.spend(cost);
            router.route(state);
        } else {
            router.rejectOrFail(state);
        }
    }

    /** Whether another worker has the function loaded and is below its limit: a send there is faster than a load. */
    private boolean hasOtherCopy(String function, WorkerState worker) {
        return cache.workersWith(function).stream()
                .anyMatch(
                        other -> other != worker && cache.isUsable(other, function) && limiter.isBelowLimit(other, 1));
    }

    private void loadAndWait(RequestState state, WorkerState worker) {
        CachedFunction cached = cache.recordUse(worker, state.request);
        cached.loading = true;
        queue.awaitLoad(state, cached);
        loads.order(cached);
    }
}
