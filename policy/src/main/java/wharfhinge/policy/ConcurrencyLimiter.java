package wharfhinge.policy;

/**
 * Limits this dispatcher's requests in flight on each worker. The limit follows the smoothed ratio of the responses'
 * latency to the latency objective of their requests: a low ratio increases it in steps; a ratio near or above one, and
 * each rejection, decreases it by a factor. A limit below one sets a minimum interval between sends.
 *
 * <p>Departure from the source design, which has a fixed limit and names its tuning as future work: it acts on each
 * response that involved no load and on each rejection, and guards against limits that are too high for a slow worker
 * or too low for a fast one. It may hurt where functions are slow by nature, which makes their worker look saturated.
 */
final class ConcurrencyLimiter {
    private static final double INITIAL_LIMIT = 8;

    /** Far below one, since where many dispatchers share a worker even one request of each may be too many. */
    private static final double MIN_LIMIT = 0.03;

    private static final double INCREASE = 0.1;
    private static final double DECREASE_FACTOR = 0.85;

    /**
     * Factor that decreases a limit of at most one. Its inverse increases a limit that is below this factor. The steps
     * are larger than those of larger limits, since a small limit allows few sends and so yields few responses.
     */
    private static final double SMALL_LIMIT_FACTOR = 0.5;

    /**
     * Smoothed ratio of latency to objective above which the limit is decreased, since the next responses would be
     * late.
     */
    private static final double DECREASE_ABOVE = 0.7;

    /** Smoothed ratio of latency to objective below which the limit is increased. */
    private static final double INCREASE_BELOW = 0.45;

    /** Least weight of a sample in the smoothed latency. */
    private static final double LATENCY_SMOOTHING = 0.1;

    /**
     * Time constant of the smoothed latency: a sample weighs the more the longer ago the previous one was, and 1 - 1/e
     * if that was one time constant ago.
     */
    private static final long LATENCY_WINDOW_NANOS = 4000 * DispatcherContext.NANOS_PER_MILLI;

    /** Weight of a sample in the mean ratio of latency to objective of all workers. */
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
     * Whether the worker may get another request: this dispatcher's requests in flight are below the limit, or, with a
     * limit below one, enough time has passed since the last send; and the load that the worker reports is below
     * saturation.
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

    /**
     * Whether the worker has responded recently, and its smoothed ratio of latency to objective is above the mean of all
     * workers.
     */
    boolean isSlowerThanMean(WorkerState worker) {
        return context.now - worker.latencySampledAt < 2 * LATENCY_WINDOW_NANOS
                && worker.latencyToObjective > meanLatencyToObjective;
    }

    /**
     * Updates the latency and the limit from a response to a request whose function, as far as known, did not have to be
     * loaded.
     */
    void onResponse(WorkerState worker, RequestState state, long tookNanos) {
        double latencyToObjective = tookNanos / (double) state.latencyObjectiveNanos;
        double weight = Math.max(
                LATENCY_SMOOTHING,
                1 - Math.exp((worker.latencySampledAt - context.now) / (double) LATENCY_WINDOW_NANOS));
        worker.latencySampledAt = context.now;
        worker.latencyNanos += weight * (tookNanos - worker.latencyNanos);
        worker.latencyToObjective += weight * (latencyToObjective - worker.latencyToObjective);
        meanLatencyToObjective += MEAN_SMOOTHING * (latencyToObjective - meanLatencyToObjective);
        if (worker.latencyToObjective > DECREASE_ABOVE
                && context.now - worker.limitDecreasedAt > worker.latencyToObjective * state.latencyObjectiveNanos) {
            decreaseLimit(worker);
        } else if (worker.latencyToObjective < INCREASE_BELOW
                && (worker.concurrencyLimit <= 1 || worker.inFlight >= worker.concurrencyLimit / 2)) {
            increaseLimit(worker);
        }
    }

    /**
     * Decreases the limit after the worker rejected a request because it is saturated: to the number that was in flight
     * including that request, if that is less, and then by a factor.
     */
    void onSaturated(WorkerState worker) {
        worker.concurrencyLimit = Math.min(worker.concurrencyLimit, worker.inFlight + 1);
        decreaseLimit(worker);
    }

    private static void increaseLimit(WorkerState worker) {
        worker.concurrencyLimit = worker.concurrencyLimit < SMALL_LIMIT_FACTOR
                ? worker.concurrencyLimit / SMALL_LIMIT_FACTOR
                : worker.concurrencyLimit + INCREASE;
    }

    /**
     * Decreases the limit.
     *
     * <p>Departure from the source design: it acts on limits of at most one, which are reached where many dispatchers
     * share a worker. In groups that are not small, such a limit is first lowered to the number of requests that this
     * dispatcher has in flight on the worker on average (the latency divided by the interval of its last two sends), but
     * not below {@link DispatcherContext#smallGroupFactor}. It is then multiplied by {@link #SMALL_LIMIT_FACTOR}, but
     * never falls below {@link #MIN_LIMIT}. Between these bounds a decrease at least doubles this dispatcher's interval
     * between sends, so that it slows down even a dispatcher that sends seldom. It guards against many dispatchers that
     * all send to a saturated worker again too soon. It may hurt since one bad response leaves a good worker idle.
     */
    private void decreaseLimit(WorkerState worker) {
        double ownMeanInFlight = Math.max(
                context.smallGroupFactor,
                worker.latencyNanos / Math.max(worker.latencyNanos, worker.sendIntervalNanos));
        worker.concurrencyLimit = worker.concurrencyLimit > 1
                ? worker.concurrencyLimit * DECREASE_FACTOR
                : Math.max(MIN_LIMIT, SMALL_LIMIT_FACTOR * Math.min(worker.concurrencyLimit, ownMeanInFlight));
        worker.limitDecreasedAt = context.now;
    }
}
