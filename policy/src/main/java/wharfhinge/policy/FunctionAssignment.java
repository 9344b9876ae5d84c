package wharfhinge.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Assigns each recently called function to one worker: the first of its preferred workers whose memory holds it beside
 * the functions that score better there (deferred acceptance).
 *
 * <p>Departure from the source design: it acts where the memory of workers is configured. A further copy of a function
 * is loaded only where memory is left beside the assigned functions, and what misses elsewhere goes to its assigned
 * worker. It guards against copies of hot functions that evict the only copies of cold ones, after which every request
 * loads and the fleet doesn't recover. Dispatchers that know like functions derive like assignments, since the result
 * doesn't depend on the order in which functions came. It may hurt where a further copy of a hot function is worth more
 * than the only copy of a cold one.
 */
final class FunctionAssignment {
    private static final double UNBOUNDED = Double.MAX_VALUE;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final PreferredWorkers preferred;
    private final FunctionCacheIndex cache;
    private final FunctionTraffic traffic;

    FunctionAssignment(
            DispatcherContext context,
            WorkerRegistry registry,
            PreferredWorkers preferred,
            FunctionCacheIndex cache,
            FunctionTraffic traffic) {
        this.context = context;
        this.registry = registry;
        this.preferred = preferred;
        this.cache = cache;
        this.traffic = traffic;
    }

    /** Counts a request of the function, which it assigns if it is new, and returns the share of requests before it. */
    double onRequest(Request request) {
        FunctionStats stats = traffic.find(request.function());
        if (stats == null) {
            refresh();
            stats = traffic.add(request);
            assign(stats);
        }
        return traffic.countRequest(stats);
    }

    /** Brings the active workers up to date, and all assignments if the endpoint list changed. */
    void refresh() {
        if (registry.refreshActive()) {
            reassign(stats -> true);
        }
    }

    /** Forgets functions that are no longer called; those that made way for others are assigned anew. */
    void expire() {
        if (traffic.removeIdle(this::unassign)) {
            reassign(stats -> stats.preferenceIndex > 0);
        }
        preferred.retain(traffic.functions());
    }

    /** The worker that the function is assigned to, or null. */
    WorkerState assignedWorker(String function) {
        FunctionStats stats = traffic.find(function);
        return stats != null ? stats.assignedWorker : null;
    }

    /** Whether memory for one more function is left on the worker, beside the assigned and the cached functions. */
    boolean hasMemoryFor(WorkerState worker, double memoryMb) {
        return memoryMb
                        + worker.assignedMemoryMb
                        + worker.cachedFunctions.values().stream()
                                .filter(cached -> assignedWorker(cached.function) != worker)
                                .mapToDouble(cached -> cached.memoryMb)
                                .sum()
                <= memoryMb(worker);
    }

    /** Whether it may stay where memory is short: it is assigned here, or assigned nowhere and loaded nowhere else. */
    boolean belongsOn(WorkerState worker, String function) {
        WorkerState assigned = assignedWorker(function);
        if (assigned != null) {
            return assigned == worker;
        }
        return cache.workersWith(function).stream()
                .noneMatch(other -> other != worker && cache.isLoaded(other, function));
    }

    private void reassign(Predicate<FunctionStats> which) {
        List<FunctionStats> affected = traffic.all().stream().filter(which).toList();
        affected.forEach(this::unassign);
        affected.forEach(this::assign);
    }

    /** Assigns the function; one that must make way for it moves on to its own next preference, and so on. */
    private void assign(FunctionStats first) {
        first.preferenceIndex = 0;
        FunctionStats unplaced = first;
        while (unplaced != null && unplaced.preferenceIndex < registry.active().size()) {
            WorkerState worker = preferredWorker(unplaced);
            unplaced.assignedWorker = worker;
            worker.assignedFunctions.add(unplaced);
            worker.assignedMemoryMb += unplaced.memoryMb;
            unplaced = worker.assignedMemoryMb <= memoryMb(worker) ? null : leastSuited(worker);
            if (unplaced != null) {
                unassign(unplaced);
                unplaced.preferenceIndex++;
            }
        }
    }

    private WorkerState preferredWorker(FunctionStats stats) {
        int index = stats.preferenceIndex;
        return index == 0
                ? preferred.first(stats.function, stats.hash, worker -> true)
                : preferred.head(stats.function, stats.hash, index + 1)[index];
    }

    private static FunctionStats leastSuited(WorkerState worker) {
        return Collections.min(
                worker.assignedFunctions,
                Comparator.comparingDouble(stats -> PreferredWorkers.uniform(worker, stats.hash)));
    }

    private boolean unassign(FunctionStats stats) {
        WorkerState worker = stats.assignedWorker;
        if (worker != null && worker.assignedFunctions.remove(stats)) {
            worker.assignedMemoryMb -= stats.memoryMb;
        }
        stats.assignedWorker = null;
        return true;
    }

    /** Configured memory of the worker's kind, without bound where none is configured. */
    private double memoryMb(WorkerState worker) {
        List<String> kinds = context.settings.kinds();
        List<Double> memoryMbByKind = context.settings.functionLoading().memoryMbByKind();
        int kind = kinds == null ? -1 : kinds.indexOf(worker.endpoint.kind());
        boolean configured =
                kind >= 0 && memoryMbByKind != null && kind < memoryMbByKind.size() && memoryMbByKind.get(kind) > 0;
        return configured ? memoryMbByKind.get(kind) : UNBOUNDED;
    }
}
