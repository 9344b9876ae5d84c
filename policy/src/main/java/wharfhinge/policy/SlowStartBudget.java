package wharfhinge.policy;

/**
 * Token bucket of each worker that is warming up (slow start). Its rate is the configured multiple of the worker's
 * present share of what a warm worker answers to this dispatcher. It counts answers, not arrivals: summed over all
 * dispatchers these never exceed the capacity, while clients that repeat rejected requests would inflate arrivals.
 */
final class SlowStartBudget {
    /** Part of the configured multiple that is used, since chance and unequal peers add to it. */
    private static final double SAFETY_MARGIN = 0.6;

    private static final long ANSWER_WINDOW_NANOS = 5000 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final ProtectionRules rules;
    private final DecayingCounter answers = new DecayingCounter(ANSWER_WINDOW_NANOS);

    SlowStartBudget(DispatcherContext context, WorkerRegistry registry) {
        this.context = context;
        this.registry = registry;
        this.rules = context.settings.protectionRules();
    }

    /** Counts an attempt that a worker completed, served or failed. */
    void onAttemptJudged(boolean served) {
        answers.add(served ? 1 : 0, context.now);
    }

    void onSend(WorkerState worker) {
        if (registry.isWarmingUp(worker)) {
            worker.slowStartTokens--;
        }
    }

    /** Whether the worker may get one more request; refills its bucket. */
    boolean hasToken(WorkerState worker) {
        if (!registry.isWarmingUp(worker)) {
            return true;
        }
        double ratePerNano = ratePerNano(worker);
        // A fleet that warms up as a whole has no answers to go by: at least one token for the group.
        double minRatePerNano = 1.0 / rules.slowStartNanos() / Math.max(1, context.settings.groupSize());
        refill(worker, Math.max(ratePerNano, minRatePerNano), ratePerNano > minRatePerNano);
        return worker.slowStartTokens >= 1;
    }

    private double ratePerNano(WorkerState worker) {
        double age = Math.max(0, context.now - worker.startedAt()) / (double) rules.slowStartNanos();
        double rampShare = rules.slowStartFrom() + (1 - rules.slowStartFrom()) * age;
        // Of the mean worker's part of the answers, or of its own by capacity where it is smaller than the mean.
        double workerShare = Math.min(1.0 / registry.upCount(), worker.capacity() / registry.upCapacity());
        return SAFETY_MARGIN
                * rules.overloadFactor()
                * rampShare
                * answers.valueAt(context.now)
                / ANSWER_WINDOW_NANOS
                * workerShare;
    }

    /**
     * Adds the tokens since the last refill.
     *
     * <p>Departure from the source design: where this dispatcher's part of an overload window is below one token,
     * unused tokens expire after a window. It guards against dispatchers that didn't send for seconds and then all send
     * in one window; it may hurt where requests for the worker are rarer than a window, which then gets less than it
     * could bear. The token of a fleet that warms up as a whole doesn't expire.
     */
    private void refill(WorkerState worker, double ratePerNano, boolean aboveMinimum) {
        double tokensPerWindow = ratePerNano * rules.overloadWindowNanos();
        boolean expires = aboveMinimum && tokensPerWindow < 1;
        double capacity = expires ? 1 + tokensPerWindow : Math.max(1, tokensPerWindow / 2);
        double tokens = worker.slowStartTokens + ratePerNano * (context.now - worker.slowStartRefilledAt);
        worker.slowStartTokens = expires && tokens > capacity
                ? tokens - Math.floor(tokens - tokensPerWindow)
                : Math.min(capacity, tokens);
        worker.slowStartRefilledAt = context.now;
    }
}
