package wharfhinge.policy;

/**
 * Usual time that a loaded function takes to answer a request of one class, for each unit of reported cost where
 * costs are reported. Until the first sample it is taken for a quarter of the class's latency objective.
 */
final class ServiceTimeEstimate {
    /** Least weight of a new sample, so that the estimate follows a change of the work. */
    private static final double SMOOTHING = 0.02;

    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    private final double initialNanos;
    private double nanosPerUnit;
    private long samples;

    ServiceTimeEstimate(long latencyObjectiveNanos) {
        initialNanos = latencyObjectiveNanos / INITIAL_OBJECTIVE_DIVISOR;
    }

    void learn(double nanosPerUnitSample) {
        samples++;
        nanosPerUnit += Math.max(1.0 / samples, SMOOTHING) * (nanosPerUnitSample - nanosPerUnit);
    }

    /** Expected service time of the request, nanoseconds. */
    double estimateNanos(Request request) {
        return nanosPerUnit > 0 ? nanosPerUnit * Math.max(1, request.costNanos()) : initialNanos;
    }
}
