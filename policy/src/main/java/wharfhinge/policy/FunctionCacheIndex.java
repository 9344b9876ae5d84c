package wharfhinge.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Index of the functions that are believed to be loaded, by worker. An entry is created by a send or a load order, is
 * refreshed by each use, and expires once the function has been idle for as long as workers keep idle functions.
 * Entries are indexed by function too, so that a request does not scan the whole fleet. At most {@link #MAX_ENTRIES} are
 * kept, unless more are in use.
 */
final class FunctionCacheIndex {
    /** Load time assumed where a request reports none. */
    static final long DEFAULT_LOAD_NANOS = 1000 * DispatcherContext.NANOS_PER_MILLI;

    /** Each takes about 0.4 KB. */
    private static final int MAX_ENTRIES = 3072;

    /** One in this many entries is removed when there are {@link #MAX_ENTRIES}. */
    private static final int REMOVED_SHARE_DIVISOR = 4;

    /** Order of removal: first entries not known to be loaded, then the least recently used. */
    private static final Comparator<CachedFunction> LEAST_USEFUL_FIRST = Comparator.comparing(
                    (CachedFunction cached) -> !cached.loading)
            .thenComparingLong(cached -> cached.lastUsedAt)
            .thenComparing(cached -> cached.function)
            .thenComparing(cached -> cached.worker, WorkerState.BY_ORDINAL);

    private final DispatcherContext context;
    private final long idleRetentionNanos;
    private int entries;
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

    /**
     * Whether a request sent to the worker would not wait for an ordered load: the function is believed to be loaded
     * there, or an attempt that was sent there makes the worker load it.
     */
    boolean isLoaded(WorkerState worker, String function) {
        return isCached(worker, function) && !isLoading(worker, function);
    }

    /** Whether the worker is up and not ejected, and {@link #isLoaded} is true. */
    boolean isUsable(WorkerState worker, String function) {
        return worker.up && !worker.ejected && isLoaded(worker, function);
    }

    /** Workers with an entry for the function, in the order in which they were first listed. */
    TreeSet<WorkerState> workersWith(String function) {
        return workersByFunction.computeIfAbsent(function, key -> new TreeSet<>(WorkerState.BY_ORDINAL));
    }

    /**
     * Records a use of the request's function on the worker. A new entry, made where there is none or it has expired, is
     * not yet known to be loaded.
     */
    CachedFunction recordUse(WorkerState worker, Request request) {
        CachedFunction cached = worker.cachedFunctions.get(request.function());
        if (cached == null || !isCached(worker, request.function())) {
            if (cached != null) {
                remove(cached);
            }
            if (entries >= MAX_ENTRIES) {
                removeLeastUseful();
            }
            entries++;
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

    /**
     * Records a copy that a worker reported. The worker may unload it soon, so the entry expires after one load time.
     */
    void recordReportedCopy(WorkerState worker, Request request) {
        CachedFunction cached = recordUse(worker, request);
        cached.loading = false;
        cached.lastUsedAt = context.now - idleRetentionNanos + cached.loadNanos;
    }

    void remove(CachedFunction cached) {
        if (cached.worker.cachedFunctions.remove(cached.function, cached)) {
            entries--;
            workersWith(cached.function).remove(cached.worker);
        }
    }

    /** Removes the entry if its function has been idle for too long and no request waits for it. */
    void removeIfExpired(CachedFunction cached) {
        if (cached.waitingRequests.isEmpty() && !isCached(cached.worker, cached.function)) {
            remove(cached);
        }
    }

    /**
     * Removes entries until there is room for new ones, but none that an attempt, a load order or a waiting request uses.
     *
     * <p>Departure from the source design: it acts where requests name so many functions within the time that workers
     * keep idle ones that their entries would exceed the memory of the process. It may hurt where workers do keep that
     * many: a request for a removed function may cause another load.
     */
    private void removeLeastUseful() {
        workersByFunction.entrySet().stream()
                .flatMap(entry -> entry.getValue().stream().map(worker -> worker.cachedFunctions.get(entry.getKey())))
                .filter(FunctionCacheIndex::isUnused)
                .sorted(LEAST_USEFUL_FIRST)
                .limit(MAX_ENTRIES / REMOVED_SHARE_DIVISOR)
                .toList()
                .forEach(this::remove);
    }

    private static boolean isUnused(CachedFunction cached) {
        return cached.inFlight == 0 && !cached.loadOrdered && cached.waitingRequests.isEmpty();
    }

    /** The number of entries. */
    int size() {
        return entries;
    }

    /** Removes functions without entries from the index. */
    void removeEmptyEntries() {
        workersByFunction.values().removeIf(TreeSet::isEmpty);
    }
}
