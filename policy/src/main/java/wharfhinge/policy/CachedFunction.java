package wharfhinge.policy;

import java.util.LinkedHashSet;

/** A function that is believed to be loaded, or loading, on one worker. Plain state of {@link FunctionCacheIndex}. */
final class CachedFunction {
    final WorkerState worker;
    final String function;

    /** Requests that wait for the load that was ordered here. */
    final LinkedHashSet<RequestState> waitingRequests = new LinkedHashSet<>();

    /** Not known to be loaded yet. */
    boolean loading;

    /** A load order is pending or was sent, and hasn't completed. */
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
