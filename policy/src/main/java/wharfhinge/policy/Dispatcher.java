package wharfhinge.policy;

import java.util.List;
import java.util.Map;

/**
 * Decides on the requests of one dispatcher: it receives events and responds with {@link DispatcherActions}. All times
 * are nanoseconds of the caller's clock, which never runs backwards; an event's {@code now} is the time at which it
 * occurred. An implementation is used by one thread at a time. {@link CacheAwareDispatcher} is the implementation of
 * this module.
 */
public interface Dispatcher {
    /** The dispatcher's current view of all workers, for one function; does not affect later decisions. */
    default List<WorkerSnapshot> workerStates(long now, String function) {
        return List.of();
    }

    /** How much state the dispatcher holds; does not affect later decisions. */
    default DispatcherStateSizes stateSizes() {
        return DispatcherStateSizes.EMPTY;
    }

    /**
     * The endpoint list changed, arrived for the first time, or could not be watched.
     *
     * @param revision number of the list's version after the update
     * @param entries  what {@link EndpointUpdateMode} says; empty if the watch was rejected
     */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries);

    /**
     * The source of the endpoint list has reported all changes up to {@code at}. If neither this nor {@link
     * #onEndpointsUnconfirmed} is ever called, the list always counts as current.
     */
    default void onEndpointsConfirmed(long now, long at) {}

    /** The source of the endpoint list has to be contacted again; the list may be stale until it is confirmed. */
    default void onEndpointsUnconfirmed(long now) {}

    /** The last open connection to the worker was closed, by either side. */
    default void onWorkerDisconnected(long now, String worker) {}

    /** The condition under which a message may be written to the worker; does not affect later decisions. */
    default SendCondition sendCondition(long now, String worker, SendCondition.Purpose purpose) {
        return SendCondition.NONE;
    }

    /** A request arrived; it gets exactly one final response. */
    void onRequest(long now, Request request);

    /** The client cancelled the request or disconnected. */
    void onClientCancelled(long now, String request);

    /** A probe completed. */
    default void onProbeCompleted(
            long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {}

    /** A streamed response started; the client's deadline no longer applies. */
    void onStreamStarted(long now, String request, int attempt, String worker);

    /** A message from another dispatcher arrived. */
    default void onPeerMessage(long now, int peer, byte[] payload) {}

    /** A timer set with {@link DispatcherActions#scheduleTimer} is due. */
    void onTimer(long now, String token);

    /** An attempt ended. */
    void onAttemptCompleted(long now, AttemptCompletion completion);

    /**
     * A load order, or a query by {@link DispatcherActions#ensureLoaded} with a count of 0, completed; the worker has
     * {@code count} copies of the function loaded, or 0 if it did not report any.
     */
    void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos);

    /**
     * Whether the function is believed to be loaded on a worker that is up and not ejected; does not affect later
     * decisions.
     */
    default boolean isCached(long now, String function) {
        return false;
    }

    /** A request like this one is expected soon: its function may be prefetched, within all limits on loads. */
    default void onRequestExpected(long now, Request request) {}
}
