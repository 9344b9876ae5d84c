package wharfhinge.policy;

/**
 * Ejects workers that fail or hang, and restores them after a successful trial.
 *
 * <p>Either of two symptoms ejects a worker: a high smoothed failure rate, or several overdue attempts without a timely
 * response in between. After a pause that doubles with each failed trial, an ejected worker gets one idempotent first
 * send at a time as a trial (half-open state); a timely response restores it.
 */
final class OutlierDetector {
    /** Pause before the first trial. */
    static final long FIRST_EJECTION_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    private static final long MAX_EJECTION_NANOS = 8000 * DispatcherContext.NANOS_PER_MILLI;
    private static final double FAILURE_SMOOTHING = 0.2;

    /** Smoothed failure rate above which a worker is ejected; three failures in a row from a rate of 0 exceed it. */
    private static final double FAILURE_RATE_LIMIT = 0.45;

    /** Overdue attempts, with no timely response in between, at which a worker is ejected. */
    private static final int OVERDUE_LIMIT = 3;

    /** Lateness of an overdue timer above which it indicates a stall of this process and not of the worker. */
    private static final long LOCAL_STALL_NANOS = 100 * DispatcherContext.NANOS_PER_MILLI;

    /**
     * Trials allowed per request of this dispatcher. Where each dispatcher sends little, most of its requests could
     * otherwise be trials.
     */
    private static final double TRIALS_PER_REQUEST = 0.05;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final ConcurrencyLimiter limiter;
    private final SlowStartBudget slowStart;
    private final FunctionTraffic traffic;
    private double trialTokens = 1;

    OutlierDetector(
            DispatcherContext context,
            WorkerRegistry registry,
            ConcurrencyLimiter limiter,
            SlowStartBudget slowStart,
            FunctionTraffic traffic) {
        this.context = context;
        this.registry = registry;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.traffic = traffic;
    }

    void onRequest() {
        trialTokens = Math.min(1, trialTokens + TRIALS_PER_REQUEST);
    }

    void onSend(WorkerState worker) {
        if (worker.ejected) {
            trialTokens--;
        }
    }

    /**
     * Whether the worker is ejected and must not get this request: the request cannot be a trial, no trial is due, or
     * {@link #TRIALS_PER_REQUEST} allows none.
     */
    boolean isBlocked(WorkerState worker, RequestState state) {
        return worker.ejected
                && (context.now < worker.trialAt
                        || worker.lastSentAt >= worker.trialAt
                        || trialTokens < 1
                        || !state.attempts.isEmpty()
                        || state.requestClass.effect() != Effect.IDEMPOTENT);
    }

    /** Whether the attempt's overdue timer came so late that it says nothing about the worker. */
    boolean isLocalStall(Attempt attempt) {
        return context.now - attempt.sentAt() - attempt.overdueAfterNanos() > LOCAL_STALL_NANOS;
    }

    /** Whether the worker has not responded to anything since the attempt was sent. */
    static boolean isUnresponsive(Attempt attempt) {
        return attempt.worker().lastResponseAt <= attempt.sentAt();
    }

    /** Counts an attempt that is overdue without a response, which may eject its worker; an overdue trial has failed. */
    void onOverdue(Attempt attempt) {
        WorkerState worker = attempt.worker();
        worker.overdueAttempts++;
        if (worker.overdueAttempts >= OVERDUE_LIMIT) {
            eject(worker, isUnresponsive(attempt) ? "silent" : "slow");
        }
        if (isTrial(attempt)) {
            onTrialFailed(worker);
        }
    }

    /** Ejects the worker of an abandoned load order if it has not responded since the order. */
    void onLoadOverdue(CachedFunction cached) {
        if (cached.worker.lastResponseAt <= cached.loadOrderedAt) {
            eject(cached.worker, "silent");
        }
    }

    /** Updates the worker's health from the outcome of an attempt. */
    void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
        WorkerState worker = attempt.worker();
        Outcome outcome = completion.outcome();
        if (isResponse(outcome)) {
            worker.lastResponseAt = context.now;
        }
        if (outcome == Outcome.SATURATED) {
            limiter.onSaturated(worker);
        }
        if (isInconclusive(attempt, outcome)) {
            // A miss passes a trial, since the worker responded. The other inconclusive outcomes fail it: even a worker
            // that rejects the attempt may be saturated because its requests hang.
            endTrial(attempt, outcome == Outcome.NOT_LOADED);
            return;
        }
        slowStart.onAttemptOutcome(outcome == Outcome.SERVED);
        boolean failed = outcome != Outcome.SERVED && completion.cacheStatus() != CacheStatus.LOAD_FAILED;
        worker.failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - worker.failureRate);
        if (!failed && isResponseOfLoadedFunction(completion)) {
            recordLatency(attempt, completion.tookNanos());
        }
        updateEjection(attempt, failed, !failed && completion.tookNanos() <= attempt.overdueAfterNanos());
    }

    private static boolean isResponse(Outcome outcome) {
        return switch (outcome) {
            case SERVED, ERROR, SATURATED, NOT_LOADED -> true;
            case TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, SUPERSEDED, LEASE_EXPIRED -> false;
        };
    }

    /**
     * Whether the outcome does not count towards the worker's failure rate: it is a rejection, a miss, an error of the
     * caller, an attempt that was cancelled, superseded or not written, or a timeout, which the count of overdue attempts
     * already covers.
     */
    private boolean isInconclusive(Attempt attempt, Outcome outcome) {
        boolean callerError = isCallerError(attempt, outcome);
        return switch (outcome) {
            case SATURATED, NOT_LOADED, TIMEOUT, CANCELLED, SUPERSEDED, LEASE_EXPIRED -> true;
            case SERVED, ERROR, CONNECT_FAILED, RESET -> callerError;
        };
    }

    /**
     * Whether an error is the caller's fault. Records the workers on which the function failed.
     *
     * <p>Departure from the source design: it acts on errors of a function that no worker has served to this dispatcher
     * and that failed on another worker too. It guards against callers that request functions that do not exist, which
     * would eject healthy workers. It may hurt where all workers fail new functions: errors after those of the first
     * worker count against none of them until one serves the function.
     */
    private boolean isCallerError(Attempt attempt, Outcome outcome) {
        FunctionStats function = traffic.find(attempt.state().function());
        if (function == null) {
            return false;
        }
        if (outcome == Outcome.SERVED) {
            function.failedWorkers = null;
        }
        if (outcome != Outcome.ERROR || function.failedWorkers == null) {
            return false;
        }
        function.failedWorkers.add(attempt.worker());
        return function.failedWorkers.size() > 1;
    }

    private static boolean isResponseOfLoadedFunction(AttemptCompletion completion) {
        return completion.cacheStatus() == CacheStatus.UNKNOWN || completion.cacheStatus() == CacheStatus.HIT;
    }

    private void recordLatency(Attempt attempt, long tookNanos) {
        RequestState state = attempt.state();
        state.serviceTime.addSample(tookNanos / Math.max(1.0, state.request.costNanos()));
        limiter.onResponse(attempt.worker(), state, tookNanos);
    }

    /** Ends a trial, or ejects or restores the worker by its failure rate. */
    private void updateEjection(Attempt attempt, boolean failed, boolean timely) {
        WorkerState worker = attempt.worker();
        if (timely) {
            worker.overdueAttempts = 0;
        }
        if (isTrial(attempt)) {
            endTrial(attempt, timely);
        } else if (worker.ejected && timely && worker.failureRate <= FAILURE_RATE_LIMIT) {
            restore(worker);
        } else if (failed && worker.failureRate > FAILURE_RATE_LIMIT) {
            eject(worker, "failing");
        }
    }

    /** Whether the attempt was sent to an ejected worker after the pause. */
    private static boolean isTrial(Attempt attempt) {
        return attempt.worker().ejected && attempt.sentAt() >= attempt.worker().trialAt;
    }

    private void endTrial(Attempt attempt, boolean passed) {
        if (isTrial(attempt) && passed) {
            restore(attempt.worker());
        } else if (isTrial(attempt)) {
            onTrialFailed(attempt.worker());
        }
    }

    private void onTrialFailed(WorkerState worker) {
        worker.ejectionNanos = Math.min(MAX_EJECTION_NANOS, 2 * worker.ejectionNanos);
        worker.trialAt = context.now + worker.ejectionNanos;
    }

    private void eject(WorkerState worker, String symptom) {
        if (!worker.ejected) {
            worker.ejected = true;
            registry.invalidateActive();
            worker.trialAt = context.now + worker.ejectionNanos;
            context.actions.logDiagnostic("ejected " + worker.id + " " + symptom);
        }
    }

    private void restore(WorkerState worker) {
        worker.ejected = false;
        registry.invalidateActive();
        worker.failureRate = 0;
        worker.overdueAttempts = 0;
        worker.ejectionNanos = FIRST_EJECTION_NANOS;
    }
}
