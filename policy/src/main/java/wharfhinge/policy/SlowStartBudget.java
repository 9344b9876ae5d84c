package wharfhinge.policy;

/**
 * Token bucket of each worker that is warming up (slow start); a token allows one request. Its rate is the rate of
 * responses that this dispatcher gets from a warm worker, times the share of that traffic that the worker may have at its
 * present age, times the configured overload factor. Responses are counted and not arrivals: summed over all
 * dispatchers, responses never exceed the capacity, whereas clients that repeat rejected requests would inflate arrivals.
 */
final class SlowStartBudget {
    /**
     * Share of the overload factor that is used, since random variation and unequal traffic of peers add to the rate.
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

    /** Counts the attempt as a response if it was served. */
    void onAttemptOutcome(boolean served) {
        responses.add(served ? 1 : 0, context.now);
    }

    void onSend(WorkerState worker) {
        if (registry.isWarmingUp(worker)) {
            worker.slowStartTokens--;
        }
    }

    /**
     * Whether the worker may get one more request: it is not warming up, or has a token after its bucket was refilled.
     */
    boolean hasToken(WorkerState worker) {
        if (!registry.isWarmingUp(worker)) {
            return true;
        }
        double ratePerNano = ratePerNano(worker);
        // A fleet that warms up as a whole gives no responses to derive a rate from: all dispatchers of the group
        // together get at least one token for each worker in the time of a slow start.
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
     * Adds the tokens that have accrued since the last refill, up to the bucket's capacity.
     *
     * <p>Departure from the source design: it acts where this dispatcher's share of an overload window is below one
     * token. Unused tokens then expire after a window. It guards against dispatchers that sent nothing for seconds and
     * then all send in one window. It may hurt where requests for the worker are rarer than one in a window: the worker
     * then gets fewer than it could serve. The token of a fleet that warms up as a whole does not expire.
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
