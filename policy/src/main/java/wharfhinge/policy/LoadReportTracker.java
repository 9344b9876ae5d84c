package wharfhinge.policy;

import java.util.Map;

/**
 * Load that workers report with answers and probes: their requests in flight from all dispatchers. A report counts as
 * far as this dispatcher's own sends don't show the load, and fades to the mean of all reports as it ages.
 */
final class LoadReportTracker {
    /** The metric of a load report that holds the requests in flight. */
    static final String IN_FLIGHT_METRIC = "rif";

    /** How fast a report fades. Tried: with 1 s results are worse. */
    private static final long FADE_WINDOW_NANOS = 3000 * DispatcherContext.NANOS_PER_MILLI;

    private static final double MEAN_SMOOTHING = 0.02;
    private static final double INITIAL_MEAN_LOAD = 2;

    /** Multiple of the mean load from which a worker counts as saturated. */
    private static final double SATURATED_MULTIPLE = 1.5;

    /** Multiple of the mean load from which a worker ranks behind others. */
    private static final double BUSY_MULTIPLE = 1.1;

    /** Load, for each unit of capacity, below which a worker is never taken for saturated. */
    private static final double NEVER_SATURATED_LOAD = 3;

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

    /** Requests in flight for each unit of capacity, as believed now. */
    double load(WorkerState worker) {
        if (worker.reportedAt == 0 || context.peerTrafficShare == 0) {
            return meanLoad;
        }
        double freshness = Math.exp((worker.reportedAt - context.now) / (double) FADE_WINDOW_NANOS);
        return meanLoad + context.peerTrafficShare * freshness * (worker.reportedLoad - meanLoad);
    }

    /**
     * Whether the load is below saturation, times a tolerance.
     *
     * <p>Departure from the source design, which knows own sends only: it acts where workers report load, guards
     * against many dispatchers that meet on one worker, and may hurt for seconds, while a stale report keeps requests
     * away.
     */
    boolean isBelowSaturation(WorkerState worker, double tolerance) {
        return load(worker) <= tolerance * Math.max(SATURATED_MULTIPLE * meanLoad, NEVER_SATURATED_LOAD);
    }

    /** Whether the load is well above the mean. */
    boolean isBusy(WorkerState worker) {
        return load(worker) > BUSY_MULTIPLE * meanLoad;
    }

    /** Takes a worker whose probe is late for saturated. */
    void assumeSaturated(WorkerState worker) {
        worker.reportedLoad = Math.max(worker.reportedLoad, SATURATED_MULTIPLE * meanLoad);
        worker.reportedAt = context.now;
    }
}
