package wharfhinge.policy;

/**
 * Token bucket of each worker that is warming up (slow start). Its rate is the configured multiple of the worker's
 * present share of the responses that a warm worker gives to this dispatcher. Responses are counted and not arrivals:
 * summed over all dispatchers, responses never exceed the capacity, whereas clients that repeat rejected requests would
 * inflate arrivals.
 */
final class SlowStartBudget {
    /**
     * Share of the configured multiple that is used, since random variation and unequal traffic of peers add to the
     * rate.
     */
    private static final double SAFETY_MARGIN = 0.6;

    private static final long RESPONSE_WINDOW_NANOS = 5000 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final ProtectionRules rules;
    private final DecayingCounter responses = new DecayingCounter(RESPONSE_WINDOW_NANOS);

    SlowStartBudget(DispatcherContext context, WorkerRegistry registry) {
        this.context = context;
        this.registry = registry;
        this.rules = context.settings.protectionRules();
    }

    /** Counts an attempt whose outcome says something about the worker: served or failed. */
    void onAttemptOutcome(boolean served) {
        responses.add(served ? 1 : 0, context.now);
    }

    void onSend(WorkerState worker) {
        if (registry.isWarmingUp(worker)) {
            worker.slowStartTokens--;
        }
    }

    /** Refills the worker's bucket. Returns whether the worker may get one more request. */
    boolean hasToken(WorkerState worker) {
        if (!registry.isWarmingUp(worker)) {
            return true;
        }
        double ratePerNano = ratePerNano(worker);
        // A fleet that warms up as a whole gives no responses to derive a rate from: the group gets at least one token.
        double minRatePerNano = 1.0 / rules.slowStartNanos() / Math.max(1, context.settings.groupSize());
        refill(worker, Math.max(ratePerNano, minRatePerNano), ratePerNano > minRatePerNano);
        return worker.slowStartTokens >= 1;
    }

    private double ratePerNano(WorkerState worker) {
        double age = Math.max(0, context.now - worker.startedAt()) / (double) rules.slowStartNanos();
        double rampShare = rules.slowStartFrom() + (1 - rules.slowStartFrom()) * age;
        // The mean worker's share of the responses, or the worker's share by capacity where that is smaller.
        double workerShare = Math.min(1.0 / registry.upCount(), worker.capacity() / registry.upCapacity());
        return SAFETY_MARGIN
                * rules.overloadFactor()
                * rampShare
                * responses.valueAt(context.now)
                / RESPONSE_WINDOW_NANOS
                * workerShare;
    }

    /**
     * Adds the tokens since the last refill.
     *
     * <p>Departure from the source design: it acts where this dispatcher's share of an overload window is below one
     * token. Unused tokens then expire after a window. It guards against dispatchers that sent nothing for seconds and
     * then all send in one window. It may hurt where requests for the worker are rarer than a window: the worker then
     * gets fewer than it could serve. The token of a fleet that warms up as a whole does not expire.
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
