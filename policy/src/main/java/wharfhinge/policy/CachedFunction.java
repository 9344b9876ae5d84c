package wharfhinge.policy;

import java.util.LinkedHashSet;

/**
 * A function that is believed to be loaded or loading on one worker. Holds state only; {@link FunctionCacheIndex} owns
 * the instances.
 */
final class CachedFunction {
    final WorkerState worker;
    final String function;

    /** Requests that wait for the load ordered on this worker. */
    final LinkedHashSet<RequestState> waitingRequests = new LinkedHashSet<>();

    /** Whether the function is not yet known to be loaded. */
    boolean loading;

    /** Whether a load order is pending or was sent and has not completed. */
    boolean loadOrdered;

    /** When the load order was created; once it is sent, when it was sent. */
    long loadOrderedAt;

    long lastUsedAt;

    /** Expected duration of a load. */
    long loadNanos;

    double memoryMb;

    /** This dispatcher's attempts of the function in flight on the worker. */
    int inFlight;

    CachedFunction(WorkerState worker, String function) {
        this.worker = worker;
        this.function = function;
    }
}
