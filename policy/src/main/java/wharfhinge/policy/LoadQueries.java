package wharfhinge.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Queries of loaded copies that are in flight, at most one for each worker and function. A query is a load order with a
 * count of 0. Those that renew a lease are bounded by the workers, the others by {@link #MAX_RESIDENCY_QUERIES}.
 */
final class LoadQueries {
    /**
     * One query.
     *
     * @param request     the request whose function's residency is queried, or null where the query only renews a lease
     * @param renewsLease whether an answer renews the worker's lease
     */
    record Query(Request request, long sentAt, boolean renewsLease) {}

    /** A query that no worker answers stays in flight until the load timeout, and each takes about 0.8 KB. */
    private static final int MAX_RESIDENCY_QUERIES = 256;

    private final DispatcherContext context;
    private final Map<String, Query> inFlight = new HashMap<>();
    private int residencyQueries;

    LoadQueries(DispatcherContext context) {
        this.context = context;
    }

    /** Sends a query unless one is in flight. Returns whether it was sent. */
    boolean send(WorkerState worker, String function, Request request, boolean renewsLease) {
        Query query = new Query(request, context.now, renewsLease);
        if (inFlight.putIfAbsent(key(worker.id, function), query) != null) {
            return false;
        }
        residencyQueries += renewsLease ? 0 : 1;
        context.actions.ensureLoaded(worker.id, function, 0);
        return true;
    }

    /** Whether this many further residency queries may be sent. */
    boolean hasRoomFor(int queries) {
        return residencyQueries + queries <= MAX_RESIDENCY_QUERIES;
    }

    /** Removes and returns the query that was answered, or null: then the answer is that of a load order. */
    Query takeAnswered(String workerId, String function) {
        Query query = inFlight.remove(key(workerId, function));
        residencyQueries -= query == null || query.renewsLease() ? 0 : 1;
        return query;
    }

    int size() {
        return inFlight.size();
    }

    private static String key(String workerId, String function) {
        return workerId + ' ' + function;
    }
}
