package wharfhinge.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The workers of the endpoint list: which of them are up, and which of those need further checks before a send. */
final class WorkerRegistry {
    /**
     * How {@link #active} differs from the list of the last call that returned a change.
     *
     * @param removed workers that are no longer active, or whose weight or kind changed
     * @param added   workers that are active now, or whose weight or kind changed
     */
    record ActiveChange(List<WorkerState> removed, List<WorkerState> added) {}

    private final DispatcherContext context;
    private final double initialConcurrencyLimit;
    private final long slowStartNanos;
    private final Map<String, WorkerState> byId = new LinkedHashMap<>();
    private final List<WorkerState> active = new ArrayList<>();
    private final List<WorkerState> restricted = new ArrayList<>();
    private int upCount;
    private double upCapacity;
    private long lastOrdinal;
    private long activeValidUntil;
    private boolean endpointsChanged;

    WorkerRegistry(DispatcherContext context, double initialConcurrencyLimit) {
        this.context = context;
        this.initialConcurrencyLimit = initialConcurrencyLimit;
        this.slowStartNanos = context.settings.protectionRules().slowStartNanos();
    }

    /** The current incarnation of the worker, or null. */
    WorkerState find(String id) {
        return byId.get(id);
    }

    Collection<WorkerState> all() {
        return byId.values();
    }

    /** The workers that were up when the list was last recalculated, in the order in which they were first listed. */
    List<WorkerState> active() {
        return active;
    }

    /** Those of {@link #active} that are ejected or warming up; no other needs these checks before a first send. */
    List<WorkerState> restricted() {
        return restricted;
    }

    int upCount() {
        return upCount;
    }

    double upCapacity() {
        return upCapacity;
    }

    boolean isWarmingUp(WorkerState worker) {
        return worker.isWarmingUp(context.now, slowStartNanos);
    }

    /**
     * Applies one entry of an endpoint list. A worker that restarted is a new incarnation, without cached functions and
     * without a record of failures.
     */
    WorkerState update(Endpoint endpoint) {
        WorkerState previous = byId.get(endpoint.id());
        boolean restarted =
                previous != null && endpoint.startedAt() != 0 && endpoint.startedAt() != previous.endpoint.startedAt();
        WorkerState worker = previous == null || restarted ? newIncarnation(endpoint, previous) : previous;
        worker.endpoint = endpoint;
        worker.up = endpoint.availability() == Availability.UP;
        byId.put(endpoint.id(), worker);
        onEndpointsChanged();
        return worker;
    }

    private WorkerState newIncarnation(Endpoint endpoint, WorkerState previous) {
        if (previous == null) {
            lastOrdinal++;
        }
        return new WorkerState(
                endpoint.id(),
                previous != null ? previous.ordinal : lastOrdinal,
                context.now,
                initialConcurrencyLimit,
                context.settings.classes().get(0).latencyObjectiveNanos(),
                context.random.nextDouble()); // so that dispatchers reach their first token at different times
    }

    /** Marks a worker as down: it is draining, was removed, or was replaced by a new incarnation. */
    void markDown(WorkerState worker) {
        worker.up = false;
        onEndpointsChanged();
    }

    private void onEndpointsChanged() {
        activeValidUntil = 0;
        endpointsChanged = true;
    }

    /** Recalculates the number and capacity of the workers that are up, after a whole update has been applied. */
    void recount() {
        upCount = 0;
        upCapacity = 0;
        for (WorkerState worker : byId.values()) {
            if (worker.up) {
                upCount++;
                upCapacity += worker.capacity();
            }
        }
    }

    /**
     * Makes the next {@link #refreshActive} recalculate the lists, since a worker was ejected, restored or suspected of
     * a restart.
     */
    void invalidateActive() {
        activeValidUntil = 0;
    }

    /**
     * Recalculates {@link #active} and {@link #restricted} if, since the last recalculation, the endpoint list changed
     * or a worker was ejected, restored, suspected of a restart or has warmed up. Returns the change if the endpoint list
     * was updated since the last recalculation, even if no worker is affected, and null otherwise.
     */
    ActiveChange refreshActive() {
        if (context.now < activeValidUntil) {
            return null;
        }
        ActiveChange change = endpointsChanged ? takeChange() : null;
        endpointsChanged = false;
        activeValidUntil = Long.MAX_VALUE;
        active.clear();
        restricted.clear();
        for (WorkerState worker : byId.values()) {
            if (worker.up) {
                addActive(worker);
            }
        }
        return change;
    }

    private ActiveChange takeChange() {
        List<WorkerState> removed = new ArrayList<>();
        List<WorkerState> added = new ArrayList<>();
        for (WorkerState worker : active) {
            if (!worker.up || worker.differsFromActiveEndpoint()) {
                removed.add(worker);
            }
        }
        for (WorkerState worker : byId.values()) {
            if (worker.up && worker.differsFromActiveEndpoint()) {
                added.add(worker);
            }
        }
        removed.forEach(worker -> worker.activeEndpoint = null);
        added.forEach(worker -> worker.activeEndpoint = worker.endpoint);
        return new ActiveChange(removed, added);
    }

    private void addActive(WorkerState worker) {
        boolean warmingUp = isWarmingUp(worker);
        active.add(worker);
        if (worker.ejected || warmingUp) {
            restricted.add(worker);
        }
        if (warmingUp) {
            activeValidUntil = Math.min(activeValidUntil, worker.startedAt() + slowStartNanos);
        }
    }

    /** Removes workers that are down once they have no request in flight and no cached function. */
    void removeDeparted() {
        byId.values().removeIf(worker -> !worker.up && worker.inFlight == 0 && worker.cachedFunctions.isEmpty());
    }

    /** The workers that a full endpoint list no longer contains. */
    List<WorkerState> missingFrom(Set<String> listedIds) {
        List<WorkerState> missing = new ArrayList<>();
        for (WorkerState worker : byId.values()) {
            if (!listedIds.contains(worker.id)) {
                missing.add(worker);
            }
        }
        return missing;
    }
}
