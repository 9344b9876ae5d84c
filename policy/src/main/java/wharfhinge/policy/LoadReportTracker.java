package wharfhinge.policy;

import java.util.Map;

/**
 * Load that workers report with responses and probe replies: their requests in flight from all dispatchers, per unit of
 * capacity. A report is weighted by the share of the traffic that this dispatcher does not see itself, and decays to the
 * mean of all reports as it ages.
 */
final class LoadReportTracker {
    /** The metric of a load report that holds the requests in flight. */
    static final String IN_FLIGHT_METRIC = "rif";

    /** Time constant of the exponential decay of a report. */
    private static final long DECAY_WINDOW_NANOS = 3000 * DispatcherContext.NANOS_PER_MILLI;

    private static final double MEAN_SMOOTHING = 0.02;
    private static final double INITIAL_MEAN_LOAD = 2;

    /** Multiple of the mean load from which a worker counts as saturated. */
    private static final double SATURATED_MULTIPLE = 1.5;

    /** Multiple of the mean load from which a worker ranks behind others. */
    private static final double BUSY_MULTIPLE = 1.1;

    /** Load per unit of capacity up to which a worker never counts as saturated. */
    private static final double MIN_SATURATION_LOAD = 3;

    private final DispatcherContext context;
    private double meanLoad = INITIAL_MEAN_LOAD;

    LoadReportTracker(DispatcherContext context) {
        this.context = context;
    }

    void onReport(WorkerState worker, Map<String, Double> report) {
        Double inFlight = report.get(IN_FLIGHT_METRIC);
        if (inFlight != null && inFlight >= 0) {
            worker.reportedLoad = inFlight / worker.capacity();
            worker.reportedAt = context.now;
            meanLoad += MEAN_SMOOTHING * (worker.reportedLoad - meanLoad);
        }
    }

    /**
     * Estimate of the worker's current requests in flight from all dispatchers, per unit of capacity. It is the mean of
     * all reports where the worker has reported none or this dispatcher has no peers.
     */
    double load(WorkerState worker) {
        if (worker.reportedAt == 0 || context.peerTrafficShare == 0) {
            return meanLoad;
        }
        double freshness = Math.exp((worker.reportedAt - context.now) / (double) DECAY_WINDOW_NANOS);
        return meanLoad + context.peerTrafficShare * freshness * (worker.reportedLoad - meanLoad);
    }

    /**
     * Whether the load is at most {@code tolerance} times the load that counts as saturation.
     *
     * <p>Departure from the source design, which knows a dispatcher's own sends only: it acts where workers report
     * load. It guards against many dispatchers that send to the same worker. It may hurt for seconds, while a stale
     * report keeps requests away.
     */
    boolean isBelowSaturation(WorkerState worker, double tolerance) {
        return load(worker) <= tolerance * Math.max(SATURATED_MULTIPLE * meanLoad, MIN_SATURATION_LOAD);
    }

    /** Whether the load is above {@link #BUSY_MULTIPLE} times the mean. */
    boolean isBusy(WorkerState worker) {
        return load(worker) > BUSY_MULTIPLE * meanLoad;
    }

    /**
     * Raises the worker's reported load to at least {@link #SATURATED_MULTIPLE} times the mean, as if reported now, since
     * its reply to a probe is late. The worker then ranks behind others, but {@link #isBelowSaturation} may still hold.
     */
    void assumeSaturated(WorkerState worker) {
        worker.reportedLoad = Math.max(worker.reportedLoad, SATURATED_MULTIPLE * meanLoad);
        worker.reportedAt = context.now;
    }
}
