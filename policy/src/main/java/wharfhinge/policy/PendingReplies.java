package wharfhinge.policy;

import java.util.LinkedHashSet;
import java.util.List;

/** Requests that wait for workers' replies to probes, residency queries or lease renewals before they are sent. */
final class PendingReplies {
    /** Longest wait of a request for replies. */
    static final long TIMEOUT_NANOS = 40 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final LinkedHashSet<RequestState> waiting = new LinkedHashSet<>();

    PendingReplies(DispatcherContext context) {
        this.context = context;
    }

    /** Adds the request. Returns whether it was not waiting yet. */
    boolean add(RequestState state) {
        return waiting.add(state);
    }

    /** Removes the request. Returns whether it was waiting. */
    boolean remove(RequestState state) {
        return waiting.remove(state);
    }

    void scheduleTimeout(RequestState state) {
        String request = state.request.id();
        context.actions.scheduleRequestTimer(request, TimerTokens.REPLY_TIMEOUT_PREFIX + request, TIMEOUT_NANOS);
    }

    /** Whether any request waits for a reply of the worker to a probe or residency query. */
    boolean isAwaited(WorkerState worker) {
        return waiting.stream().anyMatch(state -> state.awaitedWorkers.contains(worker));
    }

    List<RequestState> snapshot() {
        return List.copyOf(waiting);
    }
}
