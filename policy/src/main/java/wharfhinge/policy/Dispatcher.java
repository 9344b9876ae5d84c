package wharfhinge.policy;

import java.util.List;
import java.util.Map;

/**
 * One dispatcher of one tier: it takes events and answers with {@link DispatcherActions}. All times are
 * nanoseconds of the caller's clock, which only advances; an event's {@code now} is when it came.
 * An implementation is used by one thread at a time. {@link CacheAwareDispatcher} holds the decisions.
 */
public interface Dispatcher {
    /** What is believed of all workers now; changes no later decision. */
    default List<WorkerSnapshot> workerStates(long now, String function) {
        return List.of();
    }

    /** The endpoint list changed, or came for the first time. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries);

    /**
     * The source of the endpoint list has told everything that there was up to {@code at}. Where neither this nor {@link
     * #onEndpointsUnconfirmed} is ever told, the list counts as current for ever.
     */
    default void onEndpointsConfirmed(long now, long at) {}

    /** The source of the endpoint list has to be asked again; the list may be stale until it is confirmed. */
    default void onEndpointsUnconfirmed(long now) {}

    /** The last open connection to the worker was closed, by whichever side. */
    default void onWorkerDisconnected(long now, String worker) {}

    /** The condition under which a message may be written to the worker; changes no later decision. */
    default SendCondition sendCondition(long now, String worker, SendCondition.Purpose purpose) {
        return SendCondition.NONE;
    }

    /** A request arrived; it gets exactly one final answer. */
    void onRequest(long now, Request request);

    /** The client cancelled the request or disconnected. */
    void onClientCancelled(long now, String request);

    /** A probe completed. */
    default void onProbeCompleted(
            long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {}

    /** A streamed answer started; the client's deadline no longer applies. */
    void onStreamStarted(long now, String request, int attempt, String worker);

    /** Another dispatcher sent a message. */
    default void onPeerMessage(long now, int peer, byte[] payload) {}

    /** A timer is due. */
    void onTimer(long now, String token);

    /** An attempt ended. */
    void onAttemptCompleted(long now, AttemptCompletion completion);

    /** A load order or residency query completed; the worker has {@code count} copies loaded. */
    void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos);

    /** Whether the function is believed to be loaded on a worker in use; changes no later decision. */
    default boolean isCached(long now, String function) {
        return false;
    }

    /** A request like this one will come soon: its function may be prefetched, within all limits on loads. */
    default void onRequestExpected(long now, Request request) {}
}
