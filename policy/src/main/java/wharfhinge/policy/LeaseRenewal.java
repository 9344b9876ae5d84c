package wharfhinge.policy;

/** Lets requests wait until the worker chosen for them has renewed its lease; see {@link EndpointLeases}. */
final class LeaseRenewal {
    private final EndpointLeases leases;
    private final PendingReplies replies;
    private final RequestQueue queue;

    LeaseRenewal(EndpointLeases leases, PendingReplies replies, RequestQueue queue) {
        this.leases = leases;
        this.replies = replies;
        this.queue = queue;
    }

    /** Queries the worker chosen for the request if its lease needs that; whether the request has to wait. */
    boolean renewBeforeSend(RequestState state, WorkerState worker) {
        if (!leases.needsRenewal(worker)) {
            return false;
        }
        boolean queriedBefore = !state.renewedLeases.add(worker);
        if (queriedBefore && leases.isValid(worker)) {
            return false; // its answers take longer than evidence stays fresh
        }
        if (queriedBefore && worker.leaseQueriedAt != WorkerState.NEVER) {
            queue.add(state); // it didn't answer in time, and no other worker is left
            return true;
        }
        leases.renew(worker, state.function());
        state.awaitedLease = worker;
        replies.add(state);
        replies.scheduleTimeout(state);
        return true;
    }

    /**
     * The request waits no longer; a worker that has not answered is avoided while there are others.
     *
     * @return the worker that has renewed its lease for the request, or null
     */
    WorkerState onWaitEnded(RequestState state) {
        WorkerState worker = state.awaitedLease;
        state.awaitedLease = null;
        if (worker != null && worker.leaseQueriedAt != WorkerState.NEVER) {
            state.triedWorkers.add(worker);
        }
        return worker != null && leases.isValid(worker) ? worker : null;
    }
}
