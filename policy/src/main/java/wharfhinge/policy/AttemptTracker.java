package wharfhinge.policy;

/** Sends attempts, counts them, and decides how long each may take and whether it may be hedged. */
final class AttemptTracker {
    /** Part of the latency objective that an attempt may take: leaves as much for another. */
    private static final double PATIENCE_OBJECTIVE_SHARE = 0.5;

    private static final double PATIENCE_SERVICE_TIMES = 4;
    private static final double PATIENCE_LOAD_TIMES = 2;

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

    /** Whether the connection was lost, refused or not used, which tells nothing of the function's copies or the store. */
    static boolean tellsNothingOfCopies(Outcome outcome) {
        return outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.LEASE_EXPIRED;
    }

    /** Sends the request to the worker and schedules the end of the attempt's patience. */
    void send(RequestState state, WorkerState worker) {
        CachedFunction cached = cache.recordUse(worker, state.request);
        boolean mayLoad = cached.loading && cached.inFlight == 0 && !context.loadsOnlyByOrder;
        Attempt attempt =
                new Attempt(state, worker, state.attempts.size(), context.now, patienceNanos(state, cached), mayLoad);
        cached.inFlight++;
        worker.inFlight++;
        worker.sendIntervalNanos = worker.lastSentAt == 0 ? 0 : context.now - worker.lastSentAt;
        worker.lastSentAt = context.now;
        outliers.onSend(worker);
        slowStart.onSend(worker);
        state.attempts.add(attempt);
        state.possiblyExecuted.add(attempt);
        state.inFlight++;
        loads.onSend(attempt);
        context.actions.sendAttempt(state.request.id(), worker.id, 0);
        context.actions.scheduleTimer(TimerTokens.patience(attempt), attempt.patienceNanos());
    }

    private long patienceNanos(RequestState state, CachedFunction cached) {
        double serviceNanos = PATIENCE_SERVICE_TIMES * state.serviceTime.estimateNanos(state.request);
        double loadNanos = cached.loading && !context.loadsOnlyByOrder ? PATIENCE_LOAD_TIMES * cached.loadNanos : 0;
        return (long) (Math.max(PATIENCE_OBJECTIVE_SHARE * state.latencyObjectiveNanos, serviceNanos) + loadNanos);
    }

    /** The attempt that a completion belongs to, or null. */
    static Attempt find(RequestState state, int index) {
        return state == null || index >= state.attempts.size() ? null : state.attempts.get(index);
    }

    /** An attempt ended: counts it and lets the collaborators that concern loads and repeats learn from it. */
    void onCompleted(Attempt attempt, AttemptCompletion completion) {
        attempt.worker().inFlight--;
        attempt.state().inFlight--;
        loads.onAttemptCompleted(attempt, completion);
        idempotency.onAttemptCompleted(attempt, completion.outcome());
    }

    /** Whether the end of the attempt's patience tells nothing any more. */
    boolean isSettled(Attempt attempt) {
        RequestState state = attempt.state();
        return state.finished && state.inFlight == 0 || !state.possiblyExecuted.contains(attempt);
    }

    /** Whether an attempt past its patience should be hedged or cancelled: the latest one, and its worker may hang. */
    boolean mayReplace(Attempt attempt) {
        RequestState state = attempt.state();
        return !state.finished
                && !state.streaming
                && retryBudget.canSpend(1)
                && mayAttemptAgain(state)
                && state.requestClass.effect() != Effect.AT_MOST_ONCE
                && attempt.index() == state.attempts.size() - 1
                && (OutlierDetector.isSilent(attempt) || attempt.worker().ejected);
    }

    /** Whether the request has had fewer attempts than are allowed. */
    boolean mayAttemptAgain(RequestState state) {
        return state.attempts.size() < context.settings.limits().maxAttempts();
    }
}
