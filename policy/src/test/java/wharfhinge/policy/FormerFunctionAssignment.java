package wharfhinge.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The calculation that {@link FunctionAssignment} replaced: sorts the whole fleet for each function, and assigns all
 * functions anew after each change of the endpoint list. Takes the registry and the traffic of components of its own.
 */
final class FormerFunctionAssignment {
    private final DispatcherComponents components;
    private final List<Double> memoryMbByKind;
    private final Map<FunctionStats, WorkerState> assignedWorkers = new HashMap<>();
    private final Map<FunctionStats, Integer> preferenceIndexes = new HashMap<>();
    private final Map<WorkerState, Set<FunctionStats>> assignedFunctions = new HashMap<>();

    FormerFunctionAssignment(DispatcherComponents components) {
        this.components = components;
        this.memoryMbByKind = components.context.settings.functionLoading().memoryMbByKind();
    }

    void onRequest(Request request) {
        FunctionStats stats = components.traffic.find(request.function());
        if (stats == null) {
            if (components.traffic.isFull()) {
                components.traffic.removeLeastRequested(this::forget);
                reassign(this::isDisplaced);
            }
            refresh();
            stats = components.traffic.add(request);
            assign(stats);
        }
        components.traffic.countRequest(stats);
    }

    void refresh() {
        if (components.registry.refreshActive() != null) {
            reassign(stats -> true);
        }
    }

    void expire() {
        if (components.traffic.removeIdle(this::forget)) {
            reassign(this::isDisplaced);
        }
    }

    String assignedWorker(FunctionStats stats) {
        WorkerState worker = assignedWorkers.get(stats);
        return worker == null ? null : worker.id;
    }

    double assignedMemoryMb(WorkerState worker) {
        return assigned(worker).stream().mapToDouble(stats -> stats.memoryMb).sum();
    }

    private boolean isDisplaced(FunctionStats stats) {
        return preferenceIndexes.getOrDefault(stats, 0) > 0;
    }

    private void reassign(Predicate<FunctionStats> which) {
        List<FunctionStats> affected =
                components.traffic.all().stream().filter(which).toList();
        affected.forEach(this::unassign);
        affected.forEach(this::assign);
    }

    private void assign(FunctionStats first) {
        preferenceIndexes.put(first, 0);
        FunctionStats unplaced = first;
        while (unplaced != null
                && preferenceIndexes.get(unplaced)
                        < components.registry.active().size()) {
            WorkerState worker = preference(unplaced).get(preferenceIndexes.get(unplaced));
            assignedWorkers.put(unplaced, worker);
            assigned(worker).add(unplaced);
            unplaced = assignedMemoryMb(worker) <= memoryMb(worker) ? null : leastSuited(worker);
            if (unplaced != null) {
                unassign(unplaced);
                preferenceIndexes.merge(unplaced, 1, Integer::sum);
            }
        }
    }

    private FunctionStats leastSuited(WorkerState worker) {
        return Collections.min(
                assigned(worker), Comparator.comparingDouble(stats -> PreferredWorkers.uniform(worker, stats.hash)));
    }

    /** All active workers in the order of the function's preference. */
    List<WorkerState> preference(FunctionStats stats) {
        List<WorkerState> order = new ArrayList<>(components.registry.active());
        order.sort(Comparator.comparingDouble(
                worker -> -Math.log(PreferredWorkers.uniform(worker, stats.hash)) / worker.capacity()));
        return order;
    }

    private Set<FunctionStats> assigned(WorkerState worker) {
        return assignedFunctions.computeIfAbsent(worker, key -> new LinkedHashSet<>());
    }

    private void unassign(FunctionStats stats) {
        WorkerState worker = assignedWorkers.remove(stats);
        if (worker != null) {
            assigned(worker).remove(stats);
        }
    }

    private void forget(FunctionStats stats) {
        unassign(stats);
        preferenceIndexes.remove(stats);
    }

    private double memoryMb(WorkerState worker) {
        int kind = components.context.settings.kinds().indexOf(worker.endpoint.kind());
        return kind >= 0 && kind < memoryMbByKind.size() && memoryMbByKind.get(kind) > 0
                ? memoryMbByKind.get(kind)
                : Double.MAX_VALUE;
    }
}
