package wharfhinge.policy;

/**
 * Ejects workers that fail or hang and takes them back by trials.
 *
 * <p>There is one judgement from two symptoms: a smoothed share of failures, and attempts past their patience with no
 * timely answer between. An ejected worker gets, after a pause that doubles with each failed trial, one idempotent
 * first send at a time (half open); a good answer restores it.
 */
final class OutlierDetector {
    /** Pause before the first trial. */
    static final long FIRST_EJECTION_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    private static final long MAX_EJECTION_NANOS = 8000 * DispatcherContext.NANOS_PER_MILLI;
    private static final double FAILURE_SMOOTHING = 0.2;

    /** Smoothed share of failures above which a worker is ejected: three in a row from none. */
    private static final double FAILURE_RATE_LIMIT = 0.45;

    /** Attempts past their patience, with no timely answer between, at which a worker is ejected. */
    private static final int OVERDUE_LIMIT = 3;

    /** A patience timer this late tells of a stall of this process, not of workers. */
    private static final long OWN_STALL_NANOS = 100 * DispatcherContext.NANOS_PER_MILLI;

    /** Own requests of which one may be a trial: where each dispatcher sees little, trials could be most of it. */
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

    /** Whether an ejected worker must not get this request: it is no trial, or no trial is due. */
    boolean isShutOut(WorkerState worker, RequestState state) {
        return worker.ejected
                && (context.now < worker.trialAt
                        || worker.lastSentAt >= worker.trialAt
                        || trialTokens < 1
                        || !state.attempts.isEmpty()
                        || state.requestClass.effect() != Effect.IDEMPOTENT);
    }

    /** Whether the attempt's patience timer came so late that it tells nothing of the worker. */
    boolean isOwnStall(Attempt attempt) {
        return context.now - attempt.sentAt() - attempt.patienceNanos() > OWN_STALL_NANOS;
    }

    /** Whether the worker has answered nothing since the attempt was sent. */
    static boolean isSilent(Attempt attempt) {
        return attempt.worker().lastResponseAt <= attempt.sentAt();
    }

    /** An attempt's patience is over, without an answer. */
    void onOverdue(Attempt attempt) {
        WorkerState worker = attempt.worker();
        worker.overdueAttempts++;
        if (worker.overdueAttempts >= OVERDUE_LIMIT) {
            eject(worker, isSilent(attempt) ? "silent" : "slow");
        }
        if (isTrial(attempt)) {
            onTrialFailed(worker);
        }
    }

    /** A load order was not answered, by far. */
    void onLoadOverdue(CachedFunction cached) {
        if (cached.worker.lastResponseAt <= cached.loadOrderedAt) {
            eject(cached.worker, "silent");
        }
    }

    /** Judges the worker by how the attempt ended. */
    void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
        WorkerState worker = attempt.worker();
        Outcome outcome = completion.outcome();
        if (isAnswer(outcome)) {
            worker.lastResponseAt = context.now;
        }
        if (outcome == Outcome.SATURATED) {
            limiter.onSaturated(worker);
        }
        if (tellsNothingOfHealth(attempt, outcome)) {
            endTrial(attempt, outcome == Outcome.NOT_LOADED); // a miss is an answer; a full worker may hang
            return;
        }
        slowStart.onAttemptJudged(outcome == Outcome.SERVED);
        boolean failed = outcome != Outcome.SERVED && completion.cacheStatus() != CacheStatus.LOAD_FAILED;
        worker.failureRate += FAILURE_SMOOTHING * ((failed ? 1 : 0) - worker.failureRate);
        if (!failed && isAnswerOfLoadedFunction(completion)) {
            learnLatency(attempt, completion.tookNanos());
        }
        judge(attempt, failed, !failed && completion.tookNanos() <= attempt.patienceNanos());
    }

    private static boolean isAnswer(Outcome outcome) {
        return switch (outcome) {
            case SERVED, ERROR, SATURATED, NOT_LOADED -> true;
            case TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, SUPERSEDED, LEASE_EXPIRED -> false;
        };
    }

    /** Rejections and misses don't tell, nor does a time-out, which the overdue count has covered already. */
    private boolean tellsNothingOfHealth(Attempt attempt, Outcome outcome) {
        boolean callerError = isCallerError(attempt, outcome);
        return switch (outcome) {
            case SATURATED, NOT_LOADED, TIMEOUT, CANCELLED, SUPERSEDED, LEASE_EXPIRED -> true;
            case SERVED, ERROR, CONNECT_FAILED, RESET -> callerError;
        };
    }

    /**
     * Whether an error is the caller's fault; notes which workers failed the function.
     *
     * <p>Departure from the source design: it acts on errors of a function that no worker has served to this dispatcher
     * and that another worker failed too. It guards against callers that name functions which don't exist and so would
     * eject healthy workers; it may hurt where all workers fail what is new, until one serves it.
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

    private static boolean isAnswerOfLoadedFunction(AttemptCompletion completion) {
        return completion.cacheStatus() == CacheStatus.UNKNOWN || completion.cacheStatus() == CacheStatus.HIT;
    }

    private void learnLatency(Attempt attempt, long tookNanos) {
        RequestState state = attempt.state();
        state.serviceTime.learn(tookNanos / Math.max(1.0, state.request.costNanos()));
        limiter.onAnswer(attempt.worker(), state, tookNanos);
    }

    private void judge(Attempt attempt, boolean failed, boolean timely) {
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

    /** Whether the attempt was sent to an ejected worker after its pause. */
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
