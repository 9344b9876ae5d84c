package wharfhinge.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Queries of loaded copies that are in flight, at most one for each worker and function. A query is a load order with a
 * count of 0.
 */
final class LoadQueries {
    /**
     * One query.
     *
     * @param request     the request whose function's residency is queried, or null where the query only renews a lease
     * @param renewsLease whether an answer renews the worker's lease
     */
    record Query(Request request, long sentAt, boolean renewsLease) {}

    private final DispatcherContext context;
    private final Map<String, Query> inFlight = new HashMap<>();

    LoadQueries(DispatcherContext context) {
        this.context = context;
    }

    /** Sends a query unless one is in flight. Returns whether it was sent. */
    boolean send(WorkerState worker, String function, Request request, boolean renewsLease) {
        Query query = new Query(request, context.now, renewsLease);
        if (inFlight.putIfAbsent(key(worker.id, function), query) != null) {
            return false;
        }
        context.actions.ensureLoaded(worker.id, function, 0);
        return true;
    }

    /** Removes and returns the query that was answered, or null: then the answer is that of a load order. */
    Query takeAnswered(String workerId, String function) {
        return inFlight.remove(key(workerId, function));
    }

    int size() {
        return inFlight.size();
    }

    private static String key(String workerId, String function) {
        return workerId + ' ' + function;
    }
}
