package wharfhinge.policy;

import java.util.List;
import java.util.Map;

/**
 * One dispatcher of one tier: it is told events and answers with {@link DispatcherActions}. All times are
 * nanoseconds of the caller's clock, which only advances; an event's {@code now} is when it came.
 * An implementation is used by one thread at a time. {@link CacheAwareDispatcher} holds the decisions.
 */
public interface Dispatcher {
    /** What is believed of all workers now; changes no later decision. */
    default List<WorkerSnapshot> workerStates(long now, String function) {
        return List.of();
    }

    /** The membership of the fleet changed or was told. */
    void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> entries);

    /** A request arrived; one final answer is owed. */
    void onRequest(long now, Request request);

    /** A request ended without this dispatcher: its client left. */
    void onClientCancelled(long now, String request);

    /** A probe ended. */
    default void onProbeCompleted(
            long now, String worker, Outcome outcome, long tookNanos, Map<String, Double> report) {}

    /** A streamed answer began; the client deadline no longer runs. */
    void onStreamStarted(long now, String request, int attempt, String worker);

    /** Another dispatcher sent bytes. */
    default void onPeerMessage(long now, int peer, byte[] payload) {}

    /** A timer is due. */
    void onTimer(long now, String token);

    /** An attempt ended. */
    void onAttemptCompleted(long now, AttemptCompletion completion);

    /** An order to hold copies ended with {@code count} copies standing. */
    void onLoadCompleted(long now, String worker, String function, int count, Outcome outcome, long tookNanos);

    /** Whether a copy of the function is believed to stand on a worker in use; changes nothing. */
    default boolean isCached(long now, String function) {
        return false;
    }

    /** A request like this one will come soon; what it lacks may be ordered ahead, within all limits on loads. */
    default void onRequestExpected(long now, Request request) {}
}
