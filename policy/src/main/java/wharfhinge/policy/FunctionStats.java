package wharfhinge.policy;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * A recently requested function: its decaying request count and the worker it is assigned to. Holds state only; {@link
 * FunctionTraffic} owns the instances, {@link FunctionAssignment} the assignment, {@link OutlierDetector} {@link
 * #failedWorkers} and {@link ResidencyQueries} {@link #reportedAbsentAt}.
 */
final class FunctionStats extends DecayingCounter {
    /** Time window of the request counts that give a function's share of all requests. */
    static final long SHARE_WINDOW_NANOS = 15_000 * DispatcherContext.NANOS_PER_MILLI;

    /** Orders the functions assigned to one worker by {@link #suitability}. */
    static final Comparator<FunctionStats> LEAST_SUITED_FIRST = Comparator.comparingDouble(
                    (FunctionStats stats) -> stats.suitability)
            .thenComparing(stats -> stats.function);

    final String function;
    final long hash;
    final double memoryMb;

    /** The first of the function's preferred workers that has memory for it; null while there is none. */
    WorkerState assignedWorker;

    /** Index, among the function's preferred workers, of {@link #assignedWorker} or of the one to be tried next. */
    int preferenceIndex;

    /** The most preferred worker when the function was last assigned; null if the function fitted on none. */
    WorkerState firstPreference;

    /** The {@link PreferredWorkers#uniform} value of {@link #assignedWorker}; changes only while that is null. */
    double suitability;

    /** When a preferred worker last reported that it has no copy. */
    long reportedAbsentAt = Long.MIN_VALUE / 2;

    /** Workers on which the function failed; null once a worker has served it. Only the size is read. */
    Set<WorkerState> failedWorkers = new HashSet<>(2);

    FunctionStats(Request request) {
        super(SHARE_WINDOW_NANOS);
        function = request.function();
        hash = PreferredWorkers.mix(function.hashCode());
        memoryMb = request.memoryMb();
    }
}
