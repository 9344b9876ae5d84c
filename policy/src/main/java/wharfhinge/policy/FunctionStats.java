package wharfhinge.policy;

import java.util.HashSet;
import java.util.Set;

/**
 * A function that was requested recently: its decaying request count and the worker it is assigned to. Plain state;
 * {@link FunctionTraffic} owns the instances, {@link FunctionAssignment} the assignment, {@link OutlierDetector}
 * {@link #failedWorkers} and {@link ResidencyQueries} {@link #reportedAbsentAt}.
 */
final class FunctionStats extends DecayingCounter {
    /** How long requests count towards a function's share of all requests. */
    static final long SHARE_WINDOW_NANOS = 15_000 * DispatcherContext.NANOS_PER_MILLI;

    final String function;
    final long hash;
    final double memoryMb;

    /** The first of its preferred workers whose memory holds it; null before it is assigned. */
    WorkerState assignedWorker;

    /** Index of {@link #assignedWorker} among the function's preferred workers. */
    int preferenceIndex;

    /** When a preferred worker last answered that it has no copy. */
    long reportedAbsentAt = Long.MIN_VALUE / 2;

    /** Workers that failed the function; null once any worker has served it. Only its size is read. */
    Set<WorkerState> failedWorkers = new HashSet<>(2);

    FunctionStats(Request request) {
        super(SHARE_WINDOW_NANOS);
        function = request.function();
        hash = PreferredWorkers.mix(function.hashCode());
        memoryMb = request.memoryMb();
    }
}
