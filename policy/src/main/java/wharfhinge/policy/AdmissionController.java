package wharfhinge.policy;

/**
 * Sheds load when the fleet is saturated: by the share of own answers that show it, and where even the least busy
 * worker is too full. A fault that makes most answers late without load is shed too; that hurts.
 */
final class AdmissionController {
    /** Multiple of a worker's limit up to which a request is still sent there. */
    private static final double REJECT_ABOVE_LIMIT = 1.25;

    private static final long WINDOW_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    /** Good answers that are assumed beside those seen. Tried: 2 and 0.5 are worse. */
    private static final double PRIOR_GOOD_ANSWERS = 1;

    /** Share of saturated answers that is tolerated. */
    private static final double TOLERATED_SHARE = 0.25;

    /** Probability of shedding for each unit of the share above the tolerated one. */
    private static final double SHED_SLOPE = 1.5;

    /** Part of the latency objective that a rejected client is advised to wait. */
    private static final double RETRY_AFTER_SHARE = 0.1;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final EligibilityFilter eligibility;
    private final ConcurrencyLimiter limiter;
    private final DecayingCounter answers = new DecayingCounter(WINDOW_NANOS);
    private final DecayingCounter saturatedAnswers = new DecayingCounter(WINDOW_NANOS);

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

    /** Whether to shed a new request; draws one random number. */
    boolean shouldShed() {
        return context.random.nextDouble() < SHED_SLOPE * (saturatedShare() - TOLERATED_SHARE);
    }

    /** Whether more answers than are tolerated showed saturation recently. */
    boolean isUnderPressure() {
        return saturatedShare() > TOLERATED_SHARE;
    }

    private double saturatedShare() {
        return saturatedAnswers.valueAt(context.now) / (answers.valueAt(context.now) + PRIOR_GOOD_ANSWERS);
    }

    /** Whether every eligible worker is so full that the answer would come too late. */
    boolean isFleetSaturated() {
        return registry.active().stream().noneMatch(worker -> eligibility.isEligible(worker) && hasRoom(worker));
    }

    /** Whether the worker is full at most up to the tolerated multiple of its limit. */
    boolean hasRoom(WorkerState worker) {
        return limiter.isBelowLimit(worker, REJECT_ABOVE_LIMIT);
    }

    /** Counts an answer, and whether it showed saturation; a late load shows no queue at the worker. */
    void onAttemptCompleted(Attempt attempt, AttemptCompletion completion) {
        boolean full = completion.outcome() == Outcome.TIMEOUT || completion.outcome() == Outcome.SATURATED;
        boolean answered = completion.outcome() == Outcome.SERVED && !attempt.mayLoad();
        if (!attempt.worker().ejected && (full || answered)) {
            boolean late = completion.tookNanos() > attempt.state().latencyObjectiveNanos;
            answers.add(1, context.now);
            saturatedAnswers.add(full || late ? 1 : 0, context.now);
        }
    }

    /** Advice for a rejected client, nanoseconds; 0 where the site passes none on. */
    long retryAfterNanos(RequestState state) {
        DispatchLimits limits = context.settings.limits();
        long max = limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
        return Math.min((long) (RETRY_AFTER_SHARE * state.latencyObjectiveNanos), max);
    }
}
