package wharfhinge.policy;

/** Makes requests wait until the worker chosen for them has renewed its lease; see {@link EndpointLeases}. */
final class LeaseRenewal {
    private final EndpointLeases leases;
    private final PendingReplies replies;
    private final RequestQueue queue;

    LeaseRenewal(EndpointLeases leases, PendingReplies replies, RequestQueue queue) {
        this.leases = leases;
        this.replies = replies;
        this.queue = queue;
    }

    /**
     * Queries the worker chosen for the request if its lease needs a renewal. Returns whether the request has to wait.
     */
    boolean renewBeforeSend(RequestState state, WorkerState worker) {
        if (!leases.needsRenewal(worker)) {
            return false;
        }
        boolean queriedBefore = !state.leaseQueriedWorkers.add(worker);
        if (queriedBefore && leases.isValid(worker)) {
            // Sends now: a worker whose answers take longer than the time after which leases are renewed would be
            // queried forever.
            return false;
        }
        if (queriedBefore && worker.leaseQueriedAt != WorkerState.NEVER) {
            // A query to the worker is unanswered, and the worker was chosen again since no other worker is left.
            queue.add(state);
            return true;
        }
        leases.sendRenewalQuery(worker, state.function());
        state.awaitedLeaseWorker = worker;
        replies.add(state);
        replies.scheduleTimeout(state);
        return true;
    }

    /**
     * Ends the request's wait for a lease. A worker that has not answered is avoided while there are others.
     *
     * @return the worker if its lease is valid now, or null
     */
    WorkerState onWaitEnded(RequestState state) {
        WorkerState worker = state.awaitedLeaseWorker;
        state.awaitedLeaseWorker = null;
        if (worker != null && worker.leaseQueriedAt != WorkerState.NEVER) {
            state.triedWorkers.add(worker);
        }
        return worker != null && leases.isValid(worker) ? worker : null;
    }
}
