package wharfhinge.policy;

import java.util.LinkedHashSet;

/** A function that is believed to be loaded or loading on one worker. Holds state of {@link FunctionCacheIndex}. */
final class CachedFunction {
    final WorkerState worker;
    final String function;

    /** Requests that wait for the load ordered on this worker. */
    final LinkedHashSet<RequestState> waitingRequests = new LinkedHashSet<>();

    /** Whether the function is not yet known to be loaded. */
    boolean loading;

    /** Whether a load order is pending or was sent and has not completed. */
    boolean loadOrdered;

    long loadOrderedAt;
    long lastUsedAt;
    long loadNanos;
    double memoryMb;
    int inFlight;

    CachedFunction(WorkerState worker, String function) {
        this.worker = worker;
        this.function = function;
    }
}
