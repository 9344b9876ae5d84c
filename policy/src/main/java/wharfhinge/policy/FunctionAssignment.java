package wharfhinge.policy;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Assigns each recently requested function to one worker, by deferred acceptance: to the first of its preferred workers
 * whose memory holds it in addition to the functions whose {@link PreferredWorkers#uniform} value there is higher.
 *
 * <p>Departure from the source design: it acts where the memory of workers is configured. A further copy of a function
 * is loaded only where the assigned functions leave memory for it, and a request that finds no copy elsewhere goes to
 * the assigned worker. It guards against copies of hot functions that evict the only copies of cold ones, after which
 * every request loads and the fleet does not recover. Dispatchers that know similar sets of functions derive similar
 * assignments, since the result does not depend on the order in which functions arrived. It may hurt where a further
 * copy of a hot function is worth more than the only copy of a cold one. A function larger than the memory of every
 * worker is assigned nowhere.
 */
final class FunctionAssignment {
    private static final double UNBOUNDED = Double.MAX_VALUE;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final PreferredWorkers preferred;
    private final FunctionCacheIndex cache;
    private final FunctionTraffic traffic;

    /** Configured memory of the largest active worker. */
    private double largestMemoryMb;

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

    /**
     * Counts a request of the function, and assigns the function if it is new. Returns its share of the requests before
     * this one.
     */
    double onRequest(Request request) {
        FunctionStats stats = traffic.find(request.function());
        if (stats == null) {
            if (traffic.isFull()) {
                makeRoom();
            }
            refresh();
            stats = traffic.add(request);
            assign(stats);
        }
        return traffic.countRequest(stats);
    }

    /** Refreshes the active workers, and all assignments if the endpoint list changed. */
    void refresh() {
        if (registry.refreshActive()) {
            updateLargestMemory();
            reassign(stats -> true);
        }
    }

    private void updateLargestMemory() {
        largestMemoryMb = 0;
        for (WorkerState worker : registry.active()) {
            largestMemoryMb = Math.max(largestMemoryMb, memoryMb(worker));
        }
    }

    /**
     * Removes functions that are no longer requested, and reassigns those that had to move past their first preference.
     */
    void expire() {
        if (traffic.removeIdle(this::unassign)) {
            reassignDisplaced();
        }
        preferred.retain(traffic.functions());
    }

    /** Removes functions, those first that were requested least, until there is room for new ones. */
    private void makeRoom() {
        traffic.removeLeastRequested(this::unassign);
        reassignDisplaced();
        preferred.retain(traffic.functions());
    }

    /** Reassigns the functions that had to move past their first preference. */
    private void reassignDisplaced() {
        reassign(stats -> stats.preferenceIndex > 0);
    }

    /** The number of recently requested functions. */
    int functionCount() {
        return traffic.all().size();
    }

    /** The worker that the function is assigned to, or null. */
    WorkerState assignedWorker(String function) {
        FunctionStats stats = traffic.find(function);
        return stats != null ? stats.assignedWorker : null;
    }

    /** Whether the memory of any active worker holds a function of this size. */
    boolean fitsAnywhere(double memoryMb) {
        return memoryMb <= largestMemoryMb;
    }

    /**
     * Whether the worker has {@code memoryMb} of memory in addition to what the functions assigned to it and those cached
     * on it need.
     */
    boolean hasMemoryFor(WorkerState worker, double memoryMb) {
        return memoryMb
                        + worker.assignedMemoryMb
                        + worker.cachedFunctions.values().stream()
                                .filter(cached -> assignedWorker(cached.function) != worker)
                                .mapToDouble(cached -> cached.memoryMb)
                                .sum()
                <= memoryMb(worker);
    }

    /**
     * Whether a copy may stay on the worker where memory is short: the function is assigned to it, or is assigned
     * nowhere and loaded nowhere else.
     */
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

    /**
     * Assigns the function to a worker. A function that is displaced by it moves on to its own next preference, and so
     * on.
     */
    private void assign(FunctionStats first) {
        first.preferenceIndex = 0;
        FunctionStats unplaced = fitsAnywhere(first.memoryMb) ? first : null;
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

    /** The function to be displaced first: the assigned one with the lowest {@link PreferredWorkers#uniform} value. */
    private static FunctionStats leastSuited(WorkerState worker) {
        return Collections.min(
                worker.assignedFunctions,
                Comparator.comparingDouble(stats -> PreferredWorkers.uniform(worker, stats.hash)));
    }

    /** Ends the function's assignment. */
    private void unassign(FunctionStats stats) {
        WorkerState worker = stats.assignedWorker;
        if (worker != null && worker.assignedFunctions.remove(stats)) {
            worker.assignedMemoryMb -= stats.memoryMb;
        }
        stats.assignedWorker = null;
    }

    /** Configured memory of the worker's kind; unbounded where none is configured. */
    private double memoryMb(WorkerState worker) {
        List<String> kinds = context.settings.kinds();
        List<Double> memoryMbByKind = context.settings.functionLoading().memoryMbByKind();
        int kind = kinds == null ? -1 : kinds.indexOf(worker.endpoint.kind());
        boolean configured =
                kind >= 0 && memoryMbByKind != null && kind < memoryMbByKind.size() && memoryMbByKind.get(kind) > 0;
        return configured ? memoryMbByKind.get(kind) : UNBOUNDED;
    }
}
