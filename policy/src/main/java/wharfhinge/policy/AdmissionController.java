package wharfhinge.policy;

/**
 * Sheds load when the fleet is saturated: new requests with a probability that grows with the share of recent attempts
 * that were rejected, timed out or were answered late, and any request for which every eligible worker has reached {@link
 * #REJECT_LIMIT_MULTIPLE} times its limits. It may hurt where a fault, and not load, makes most responses late: requests
 * are then shed without need.
 */
final class AdmissionController {
    /**
     * Multiple of a worker's limits (the concurrency limit and the reported load that counts as saturation) up to which
     * requests are still sent to it.
     */
    private static final double REJECT_LIMIT_MULTIPLE = 1.25;

    private static final long WINDOW_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    /** Timely responses added to the counted ones, so that a few late responses alone do not cause shedding. */
    private static final double PRIOR_GOOD_RESPONSES = 1;

    /** Largest share of attempts showing saturation at which no request is shed. */
    private static final double TOLERATED_SHARE = 0.25;

    /** Increase of the shedding probability per unit of the share above the tolerated one. */
    private static final double SHED_SLOPE = 1.5;

    /** Share of the latency objective that a rejected client is advised to wait. */
    private static final double RETRY_AFTER_SHARE = 0.1;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final EligibilityFilter eligibility;
    private final ConcurrencyLimiter limiter;
    private final DecayingCounter responses = new DecayingCounter(WINDOW_NANOS);
    private final DecayingCounter saturatedResponses = new DecayingCounter(WINDOW_NANOS);

    AdmissionController(
            DispatcherContext context,
            WorkerRegistry registry,
            EligibilityFilter eligibility,
            ConcurrencyLimiter limiter) {
        this.context = context;
        this.registry = registry;
        this.eligibility = eligibility;
        this.limiter = limiter;
    }

    /** Whether to shed a new request. Draws one random number. */
    boolean shouldShed() {
        return context.random.nextDouble() < SHED_SLOPE * (saturatedShare() - TOLERATED_SHARE);
    }

    /** Whether the recent share of attempts that show saturation is above the tolerated share. */
    boolean isOverloaded() {
        return saturatedShare() > TOLERATED_SHARE;
    }

    private double saturatedShare() {
        return saturatedResponses.valueAt(context.now) / (responses.valueAt(context.now) + PRIOR_GOOD_RESPONSES);
    }

    /**
     * Whether {@link #isBelowRejectLimit} is false for all workers that are eligible for the request being handled, so
     * that any response would come too late.
     */
    boolean isFleetSaturated() {
        return registry.active().stream()
                .noneMatch(worker -> eligibility.isEligible(worker) && isBelowRejectLimit(worker));
    }

    /** Whether the worker is below {@link #REJECT_LIMIT_MULTIPLE} times its limits. */
    boolean isBelowRejectLimit(WorkerState worker) {
        return limiter.isBelowLimit(worker, REJECT_LIMIT_MULTIPLE);
    }

    /**
     * Counts an attempt and whether it showed saturation: a rejection, a timeout, or a response that took longer than
     * the latency objective. Ignores attempts on ejected workers, those with any other outcome, and served ones that may
     * have loaded their function, since a long load time does not indicate a queue on the worker.
     */
    void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
        boolean saturated = completion.outcome() == Outcome.TIMEOUT || completion.outcome() == Outcome.SATURATED;
        boolean servedWithoutLoad = completion.outcome() == Outcome.SERVED && !attempt.mayLoad();
        if (!attempt.worker().ejected && (saturated || servedWithoutLoad)) {
            boolean late = completion.tookNanos() > attempt.state().latencyObjectiveNanos;
            responses.add(1, context.now);
            saturatedResponses.add(saturated || late ? 1 : 0, context.now);
        }
    }

    /** Retry-After for a rejected client in nanoseconds; 0 where the settings do not allow one. */
    long retryAfterNanos(RequestState state) {
        DispatchLimits limits = context.settings.limits();
        long max = limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
        return Math.min((long) (RETRY_AFTER_SHARE * state.latencyObjectiveNanos), max);
    }
}
