package wharfhinge.policy;

/** Sends attempts, counts those in flight, and decides when they are overdue and whether they may be hedged. */
final class AttemptTracker {
    /** Share of the latency objective after which an attempt is overdue; leaves as much time for another attempt. */
    private static final double OVERDUE_OBJECTIVE_SHARE = 0.5;

    /** Multiple of the estimated service time before which an attempt is not overdue. */
    private static final double OVERDUE_SERVICE_TIMES = 4;
    /** Multiple of the load time that is allowed in addition where the worker may load the function. */
    private static final double OVERDUE_LOAD_TIMES = 2;

    private final DispatcherContext context;
    private final FunctionCacheIndex cache;
    private final LoadScheduler loads;
    private final OutlierDetector outliers;
    private final SlowStartBudget slowStart;
    private final IdempotencyGuard idempotency;
    private final RetryBudget retryBudget;

    AttemptTracker(
            DispatcherContext context,
            FunctionCacheIndex cache,
            LoadScheduler loads,
            OutlierDetector outliers,
            SlowStartBudget slowStart,
            IdempotencyGuard idempotency,
            RetryBudget retryBudget) {
        this.context = context;
        this.cache = cache;
        this.loads = loads;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.idempotency = idempotency;
        this.retryBudget = retryBudget;
    }

    /**
     * Whether the connection was refused or lost, or nothing was written since the worker's lease had expired. Such an
     * outcome says nothing about the function's copies or the package store.
     */
    static boolean isConnectionFailure(Outcome outcome) {
        return outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.LEASE_EXPIRED;
    }

    /** Sends the request to the worker and schedules the timer after which the attempt is overdue. */
    void send(RequestState state, WorkerState worker) {
        CachedFunction cached = cache.recordUse(worker, state.request);
        boolean mayLoad = cached.loading && cached.inFlight == 0 && !context.loadsOnlyByOrder;
        Attempt attempt = new Attempt(
                state, worker, state.attempts.size(), context.now, overdueAfterNanos(state, cached), mayLoad);
        cached.inFlight++;
        worker.inFlight++;
        worker.sendIntervalNanos = worker.lastSentAt == 0 ? 0 : context.now - worker.lastSentAt;
        worker.lastSentAt = context.now;
        outliers.onSend(worker);
        slowStart.onSend(worker);
        state.attempts.add(attempt);
        state.attemptsInFlight.add(attempt);
        state.possiblyExecuted.add(attempt);
        loads.onSend(attempt);
        context.actions.sendAttempt(state.request.id(), worker.id, 0);
        context.actions.scheduleRequestTimer(
                state.request.id(), TimerTokens.overdue(attempt), attempt.overdueAfterNanos());
    }

    private long overdueAfterNanos(RequestState state, CachedFunction cached) {
        double serviceNanos = OVERDUE_SERVICE_TIMES * state.serviceTime.estimateNanos(state.request);
        double loadNanos = cached.loading && !context.loadsOnlyByOrder ? OVERDUE_LOAD_TIMES * cached.loadNanos : 0;
        return (long) (Math.max(OVERDUE_OBJECTIVE_SHARE * state.latencyObjectiveNanos, serviceNanos) + loadNanos);
    }

    /** The attempt with the given index, or null if the request or the attempt is unknown. */
    static Attempt find(RequestState state, int index) {
        return state == null || index >= state.attempts.size() ? null : state.attempts.get(index);
    }

    /**
     * Removes an attempt that ended from the counts of attempts in flight, reports it to load scheduling, and updates
     * the request's possibly executed attempts.
     */
    void onCompleted(Attempt attempt, AttemptCompletion completion) {
        attempt.worker().inFlight--;
        attempt.state().attemptsInFlight.remove(attempt);
        loads.onAttemptCompleted(attempt, completion);
        idempotency.onAttemptCompleted(attempt, completion.outcome());
    }

    /** Whether the attempt's overdue timer can be ignored, since the attempt has ended. */
    boolean isSettled(Attempt attempt) {
        return !attempt.state().attemptsInFlight.contains(attempt);
    }

    /**
     * Whether an overdue attempt should be hedged or cancelled: it is the latest of its request, its worker is
     * unresponsive or ejected, and another attempt is allowed by the retry budget, the maximum number of attempts and
     * the request's effect.
     */
    boolean mayHedgeOrCancel(Attempt attempt) {
        RequestState state = attempt.state();
        return !state.finished
                && !state.streaming
                && retryBudget.canSpend(1)
                && mayAttemptAgain(state)
                && state.requestClass.effect() != Effect.AT_MOST_ONCE
                && attempt.index() == state.attempts.size() - 1
                && (OutlierDetector.isUnresponsive(attempt) || attempt.worker().ejected);
    }

    /** Whether the request has had fewer attempts than the settings allow. */
    boolean mayAttemptAgain(RequestState state) {
        return state.attempts.size() < context.settings.limits().maxAttempts();
    }
}
