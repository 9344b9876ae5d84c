package wharfhinge.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Assigns each recently requested function to one worker, by deferred acceptance: to the first of its preferred workers
 * whose memory holds it in addition to the functions whose {@link PreferredWorkers#uniform} value there is higher.
 *
 * <p>Departure from the source design: it acts where the memory of workers is configured. A further copy of a function
 * is loaded only where the assigned functions leave memory for it, and a request that finds no copy elsewhere goes to
 * the assigned worker. It guards against copies of hot functions that evict the only copies of cold ones, after which
 * every request loads and the fleet does not recover. Dispatchers that know similar sets of functions derive similar
 * assignments: where functions are of equal size, the result does not depend on the order in which they arrived. It may
 * hurt where a further copy of a hot function is worth more than the only copy of a cold one.
 *
 * <p>After a change of the endpoint list the assignments are those that would result if all functions were assigned
 * anew, in the order in which they arrived. Only those are assigned anew that the change may concern: the functions
 * whose first preference changed, or is a worker that changed or that is {@link #contended}. A function on any other
 * worker is there whatever the order.
 *
 * <p>The work of one event is bounded. A function larger than the memory of every worker is not assigned; a function that
 * was displaced from {@link #MAX_PREFERENCES} workers is assigned nowhere; and functions that one event has no time
 * for are {@link #pending}, assigned nowhere, until a later event.
 */
final class FunctionAssignment {
    /** The number of its preferred workers that a function is tried on. */
    static final int MAX_PREFERENCES = PreferredWorkers.SHORT_HEAD;

    private static final double UNBOUNDED = Double.MAX_VALUE;

    /** Work of one event, counted in functions tried on a worker. */
    private static final int MAX_WORK = 16_384;

    /** Workers that are looked at, as an order of preference is computed, in the time that a function is tried on one. */
    private static final int ORDERED_WORKERS_PER_WORK = 32;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final PreferredWorkers preferred;
    private final FunctionCacheIndex cache;
    private final FunctionTraffic traffic;
    private final Map<String, Double> memoryMbByKind = new HashMap<>();

    /** Functions that are to be assigned, in the order in which they arrived. */
    private final Set<FunctionStats> pending = new LinkedHashSet<>();

    /**
     * Workers whose memory was exceeded, or on which a function was tried that had been displaced elsewhere, since their
     * functions were last assigned anew. All functions that prefer any other worker are assigned to it or pending.
     */
    private Set<WorkerState> contended = new HashSet<>();

    /** Configured memory of the largest active worker. */
    private double largestMemoryMb;

    private int work;
    private long workCountedSince;

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
        List<String> kinds = context.settings.kinds();
        List<Double> configuredMb = context.settings.functionLoading().memoryMbByKind();
        for (int i = 0; kinds != null && configuredMb != null && i < Math.min(kinds.size(), configuredMb.size()); i++) {
            if (configuredMb.get(i) > 0) {
                memoryMbByKind.putIfAbsent(kinds.get(i), configuredMb.get(i));
            }
        }
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

    /** Refreshes the active workers, and the assignments if the endpoint list changed. */
    void refresh() {
        countWorkOfEvent();
        WorkerRegistry.ActiveChange change = registry.refreshActive();
        if (change != null) {
            applyChange(change);
        }
        assignPending();
    }

    /**
     * Removes functions that are no longer requested, and reassigns those that had to move past their first preference.
     */
    void expire() {
        countWorkOfEvent();
        if (traffic.removeIdle(this::remove)) {
            reassignDisplaced();
        }
        assignPending();
        preferred.retain(traffic.functions());
    }

    /** Removes functions, those first that were requested least, until there is room for new ones. */
    private void makeRoom() {
        countWorkOfEvent();
        traffic.removeLeastRequested(this::remove);
        reassignDisplaced();
        preferred.retain(traffic.functions());
    }

    /** Starts to count anew unless the event is the one of the last call, or one at the same time. */
    private void countWorkOfEvent() {
        if (context.now != workCountedSince) {
            workCountedSince = context.now;
            work = 0;
        }
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

    // ---- Changes of the endpoint list ----

    private void applyChange(WorkerRegistry.ActiveChange change) {
        updateLargestMemory();
        Set<String> moved = preferred.onActiveChanged(change);
        Set<WorkerState> scope = new HashSet<>(contended);
        scope.addAll(change.removed());
        scope.addAll(change.added());
        boolean hasGrown = true;
        while (hasGrown && work < MAX_WORK) {
            contended = new HashSet<>();
            reassign(stats -> stats.firstPreference == null
                    || scope.contains(stats.firstPreference)
                    || moved.contains(stats.function));
            // where functions were tried on workers beyond the scope, those that prefer them have to be assigned anew
            // too
            hasGrown = scope.addAll(contended);
        }
    }

    private void updateLargestMemory() {
        largestMemoryMb = 0;
        for (WorkerState worker : registry.active()) {
            largestMemoryMb = Math.max(largestMemoryMb, memoryMb(worker));
        }
    }

    private void reassign(Predicate<FunctionStats> which) {
        List<FunctionStats> affected = traffic.all().stream().filter(which).toList();
        affected.forEach(this::unassign);
        pending.addAll(affected);
        assignPending();
    }

    private void assignPending() {
        while (!pending.isEmpty() && work < MAX_WORK) {
            FunctionStats next = pending.iterator().next();
            pending.remove(next);
            assign(next);
        }
    }

    // ---- One function ----

    /**
     * Assigns the function to a worker. A function that is displaced by it moves on to its own next preference, and so
     * on.
     */
    private void assign(FunctionStats first) {
        first.preferenceIndex = 0;
        first.firstPreference = null;
        FunctionStats unplaced = fitsAnywhere(first.memoryMb) ? first : null;
        while (unplaced != null && unplaced.preferenceIndex < preferenceCount()) {
            WorkerState worker = preferredWorker(unplaced);
            assign(unplaced, worker);
            unplaced = worker.assignedMemoryMb <= memoryMb(worker) ? null : worker.assignedFunctions.first();
            if (unplaced != null) {
                contended.add(worker);
                unassign(unplaced);
                unplaced.preferenceIndex++;
            }
        }
    }

    private void assign(FunctionStats stats, WorkerState worker) {
        work++;
        if (stats.preferenceIndex == 0) {
            stats.firstPreference = worker;
        } else {
            contended.add(worker);
        }
        stats.assignedWorker = worker;
        stats.suitability = PreferredWorkers.uniform(worker, stats.hash);
        worker.assignedFunctions.add(stats);
        worker.assignedMemoryMb += stats.memoryMb;
    }

    private int preferenceCount() {
        return Math.min(MAX_PREFERENCES, registry.active().size());
    }

    private WorkerState preferredWorker(FunctionStats stats) {
        int count = stats.preferenceIndex + 1;
        if (!preferred.isHeadKept(stats.function, count)) {
            work += registry.active().size() / ORDERED_WORKERS_PER_WORK;
        }
        return preferred.head(stats.function, stats.hash, count)[stats.preferenceIndex];
    }

    private void remove(FunctionStats stats) {
        unassign(stats);
        pending.remove(stats);
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
        return memoryMbByKind.getOrDefault(worker.endpoint.kind(), UNBOUNDED);
    }
}
