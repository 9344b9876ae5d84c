package wharfhinge.policy;

/**
 * Estimate of the time in which a loaded function serves a request of one class. It is proportional to the request's
 * cost where that is reported. Until the first sample it is a quarter of the class's latency objective.
 */
final class ServiceTimeEstimate {
    /** Least weight of a new sample, so that the estimate follows changes of the workload. */
    private static final double SMOOTHING = 0.02;

    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    private final double initialNanos;
    private double nanosPerUnit;
    private long samples;

    ServiceTimeEstimate(long latencyObjectiveNanos) {
        initialNanos = latencyObjectiveNanos / INITIAL_OBJECTIVE_DIVISOR;
    }

    void addSample(double nanosPerUnitSample) {
        samples++;
        nanosPerUnit += Math.max(1.0 / samples, SMOOTHING) * (nanosPerUnitSample - nanosPerUnit);
    }

    /** Expected service time of the request, nanoseconds. */
    double estimateNanos(Request request) {
        return nanosPerUnit > 0 ? nanosPerUnit * Math.max(1, request.costNanos()) : initialNanos;
    }
}
