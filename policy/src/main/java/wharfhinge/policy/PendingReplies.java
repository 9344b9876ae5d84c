package wharfhinge.policy;

import java.util.LinkedHashSet;
import java.util.List;

/** Requests that wait for replies of workers, to probes or to residency queries, before their first send. */
final class PendingReplies {
    static final long TIMEOUT_NANOS = 40 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final LinkedHashSet<RequestState> waiting = new LinkedHashSet<>();

    PendingReplies(DispatcherContext context) {
        this.context = context;
    }

    /** Whether the request was not waiting yet. */
    boolean add(RequestState state) {
        return waiting.add(state);
    }

    /** Whether the request was waiting. */
    boolean remove(RequestState state) {
        return waiting.remove(state);
    }

    void scheduleTimeout(RequestState state) {
        context.actions.scheduleTimer(TimerTokens.REPLY_TIMEOUT_PREFIX + state.request.id(), TIMEOUT_NANOS);
    }

    /** Whether any request waits for a reply of the worker. */
    boolean isAwaited(WorkerState worker) {
        return waiting.stream().anyMatch(state -> state.awaitedWorkers.contains(worker));
    }

    List<RequestState> snapshot() {
        return List.copyOf(waiting);
    }
}
