package wharfhinge.policy;

import java.util.LinkedHashSet;
import java.util.List;

/**
 * Requests that wait for a worker, for a free slot of a copy, or for an ordered load. They are examined again at each
 * maintenance tick.
 */
final class RequestQueue {
    private static final long MAINTENANCE_INTERVAL_NANOS = 25 * DispatcherContext.NANOS_PER_MILLI;

    private final DispatcherContext context;
    private final LoadScheduler loads;
    private final LinkedHashSet<RequestState> queued = new LinkedHashSet<>();
    private boolean maintenanceScheduled;

    RequestQueue(DispatcherContext context, LoadScheduler loads) {
        this.context = context;
        this.loads = loads;
    }

    void add(RequestState state) {
        queued.add(state);
        scheduleMaintenance();
    }

    /** Adds the request and makes it wait for the load. */
    void awaitLoad(RequestState state, CachedFunction load) {
        load.waitingRequests.add(state);
        state.awaitedLoad = load;
        add(state);
    }

    void remove(RequestState state) {
        queued.remove(state);
    }

    List<RequestState> snapshot() {
        return List.copyOf(queued);
    }

    void onMaintenanceTick() {
        maintenanceScheduled = false;
    }

    void scheduleMaintenance() {
        if (!maintenanceScheduled && !queued.isEmpty()) {
            maintenanceScheduled = true;
            context.actions.scheduleTimer(TimerTokens.MAINTENANCE, MAINTENANCE_INTERVAL_NANOS);
        }
    }

    /**
     * Whether the expected service time, and the load time where the awaited load order is still pending, reach beyond
     * the request's deadline. Such a request is ended now and not only at its deadline.
     */
    boolean cannotMeetDeadline(RequestState state) {
        boolean orderPending = state.awaitedLoad != null && loads.isPending(state.awaitedLoad);
        double neededNanos =
                state.serviceTime.estimateNanos(state.request) + (orderPending ? state.awaitedLoad.loadNanos : 0);
        return context.now + neededNanos > state.deadline();
    }
}
