package wharfhinge.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * What is believed to be loaded where. A belief starts with a send or a load order, is renewed by each use, and
 * expires once the function has been idle for as long as workers keep idle functions. It is kept by worker and, so
 * that a request doesn't look at the whole fleet, by function.
 */
final class FunctionCacheIndex {
    /** Load time that is assumed where a request reports none. */
    static final long DEFAULT_LOAD_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final long idleRetentionNanos;
    private final Map<String, TreeSet<WorkerState>> workersByFunction = new HashMap<>();

    FunctionCacheIndex(DispatcherContext context) {
        this.context = context;
        this.idleRetentionNanos = context.settings.functionLoading().idleRetentionNanos();
    }

    /** Whether the function is believed to be loaded, or loading, on the worker. */
    boolean isCached(WorkerState worker, String function) {
        CachedFunction cached = worker.cachedFunctions.get(function);
        return cached != null
                && (cached.inFlight > 0 || cached.loadOrdered || context.now - cached.lastUsedAt < idleRetentionNanos);
    }

    /** Whether a load of the function was ordered on the worker and hasn't completed. */
    boolean isLoading(WorkerState worker, String function) {
        CachedFunction cached = worker.cachedFunctions.get(function);
        return cached != null && cached.loadOrdered && cached.loading;
    }

    /** Whether the function is believed to be loaded on the worker: a request needn't wait for an ordered load. */
    boolean isLoaded(WorkerState worker, String function) {
        return isCached(worker, function) && !isLoading(worker, function);
    }

    /** Whether the function is believed to be loaded on a worker that is up and not ejected. */
    boolean isUsable(WorkerState worker, String function) {
        return worker.up && !worker.ejected && isLoaded(worker, function);
    }

    /** Workers with an entry for the function, in the order of their first listing. */
    TreeSet<WorkerState> workersWith(String function) {
        return workersByFunction.computeIfAbsent(function, key -> new TreeSet<>(WorkerState.BY_ORDINAL));
    }

    /** Records that the request's function is used on the worker now; a new entry counts as loading. */
    CachedFunction recordUse(WorkerState worker, Request request) {
        CachedFunction cached = worker.cachedFunctions.get(request.function());
        if (cached == null || !isCached(worker, request.function())) {
            if (cached != null) {
                remove(cached);
            }
            cached = new CachedFunction(worker, request.function());
            cached.loading = true;
            cached.memoryMb = request.memoryMb();
            worker.cachedFunctions.put(request.function(), cached);
            workersWith(request.function()).add(worker);
        }
        cached.lastUsedAt = context.now;
        cached.loadNanos = request.loadMillis() > 0
                ? (long) (request.loadMillis() * DispatcherContext.NANOS_PER_MILLI)
                : DEFAULT_LOAD_NANOS;
        return cached;
    }

    /** Records that a worker answered that it has a copy, which it may unload soon: believed for one load time. */
    void recordReportedCopy(WorkerState worker, Request request) {
        CachedFunction cached = recordUse(worker, request);
        cached.loading = false;
        cached.lastUsedAt = context.now - idleRetentionNanos + cached.loadNanos;
    }

    void remove(CachedFunction cached) {
        if (cached.worker.cachedFunctions.remove(cached.function, cached)) {
            workersWith(cached.function).remove(cached.worker);
        }
    }

    /** Removes the entry if its function has been idle for too long and nothing waits for it. */
    void removeIfExpired(CachedFunction cached) {
        if (cached.waitingRequests.isEmpty() && !isCached(cached.worker, cached.function)) {
            remove(cached);
        }
    }

    /** Drops the index entries of functions that no worker holds. */
    void removeEmptyEntries() {
        workersByFunction.values().removeIf(TreeSet::isEmpty);
    }
}
