package wharfhinge.policy;

/**
 * Limits this dispatcher's requests in flight on each worker. The limit follows the latency of answers against the
 * class's objective: quick answers raise it step by step, late answers and rejections cut it. Below one it paces sends.
 *
 * <p>The source design has a fixed limit and names its tuning as future work. It may hurt where functions are slow by
 * nature, which makes their worker look full.
 */
final class ConcurrencyLimiter {
    private static final double INITIAL_LIMIT = 8;

    /** Many dispatchers on one worker: for each of them one request at a time may be too many. */
    private static final double MIN_LIMIT = 0.03;

    private static final double INCREASE = 0.1;
    private static final double DECREASE_FACTOR = 0.85;

    /** Below a limit of one, where answers are rare: factor of a cut, and inverted of a raise. */
    private static final double SMALL_LIMIT_FACTOR = 0.5;

    /** Smoothed latency over its objective from which the limit is cut: the next answers would be late. */
    private static final double CUT_ABOVE = 0.7;

    /** Smoothed latency over its objective below which the limit is raised. */
    private static final double RAISE_BELOW = 0.45;

    private static final double LATENCY_SMOOTHING = 0.1;

    /** Where answers are rarer than this window holds samples for, each new one weighs more. */
    private static final long LATENCY_WINDOW_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    private static final double MEAN_SMOOTHING = 0.02;
    private static final double INITIAL_MEAN = 0.5;

    private final DispatcherContext context;
    private final LoadReportTracker loadReports;
    private double meanLatencyToObjective = INITIAL_MEAN;

    ConcurrencyLimiter(DispatcherContext context, LoadReportTracker loadReports) {
        this.context = context;
        this.loadReports = loadReports;
    }

    double initialLimit() {
        return Math.max(1, INITIAL_LIMIT * context.smallGroupFactor);
    }

    /**
     * Whether the worker may get a request: by own requests in flight, below a limit of one by the time since the last
     * send, and by the load that it reports.
     *
     * @param tolerance multiple of the limits that is still accepted
     */
    boolean isBelowLimit(WorkerState worker, double tolerance) {
        return worker.inFlight < Math.max(1, tolerance * worker.concurrencyLimit)
                && (worker.concurrencyLimit >= 1
                        || (context.now - worker.lastSentAt) * worker.concurrencyLimit * tolerance
                                >= worker.latencyNanos)
                && loadReports.isBelowSaturation(worker, tolerance);
    }

    /** Whether the worker answered slower than the mean of all workers recently. */
    boolean isSlowerThanMean(WorkerState worker) {
        return context.now - worker.latencySampledAt < 2 * LATENCY_WINDOW_NANOS
                && worker.latencyToObjective > meanLatencyToObjective;
    }

    /** Learns from an answer of a loaded function. */
    void onAnswer(WorkerState worker, RequestState state, long tookNanos) {
        double latencyToObjective = tookNanos / (double) state.latencyObjectiveNanos;
        double weight = Math.max(
                LATENCY_SMOOTHING,
                1 - Math.exp((worker.latencySampledAt - context.now) / (double) LATENCY_WINDOW_NANOS));
        worker.latencySampledAt = context.now;
        worker.latencyNanos += weight * (tookNanos - worker.latencyNanos);
        worker.latencyToObjective += weight * (latencyToObjective - worker.latencyToObjective);
        meanLatencyToObjective += MEAN_SMOOTHING * (latencyToObjective - meanLatencyToObjective);
        if (worker.latencyToObjective > CUT_ABOVE
                && context.now - worker.limitCutAt > worker.latencyToObjective * state.latencyObjectiveNanos) {
            cut(worker);
        } else if (worker.latencyToObjective < RAISE_BELOW
                && (worker.concurrencyLimit <= 1 || worker.inFlight >= worker.concurrencyLimit / 2)) {
            raise(worker);
        }
    }

    /** Learns from a rejection by a saturated worker. */
    void onSaturated(WorkerState worker) {
        worker.concurrencyLimit = Math.min(worker.concurrencyLimit, worker.inFlight + 1);
        cut(worker);
    }

    private static void raise(WorkerState worker) {
        worker.concurrencyLimit = worker.concurrencyLimit < SMALL_LIMIT_FACTOR
                ? worker.concurrencyLimit / SMALL_LIMIT_FACTOR
                : worker.concurrencyLimit + INCREASE;
    }

    /**
     * Cuts the limit.
     *
     * <p>Departure from the source design: below a limit of one, which a dispatcher among many reaches, a cut at least
     * doubles this dispatcher's own interval between sends to the worker, so that one that sends seldom feels it too.
     * It guards against many dispatchers that return too soon, and may hurt since one bad answer idles a good worker.
     */
    private void cut(WorkerState worker) {
        double ownMeanInFlight = Math.max(
                context.smallGroupFactor,
                worker.latencyNanos / Math.max(worker.latencyNanos, worker.sendIntervalNanos));
        worker.concurrencyLimit = worker.concurrencyLimit > 1
                ? worker.concurrencyLimit * DECREASE_FACTOR
                : Math.max(MIN_LIMIT, SMALL_LIMIT_FACTOR * Math.min(worker.concurrencyLimit, ownMeanInFlight));
        worker.limitCutAt = context.now;
    }
}
