package wharfhinge.policy;

/** Handles the answers to load orders and to queries of loaded copies, and routes the requests that waited for them. */
final class LoadCompletionHandler {
    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final LoadQueries queries;
    private final EndpointLeases leases;
    private final LoadScheduler loads;
    private final PendingReplies replies;
    private final ResidencyQueries residency;
    private final RequestRouter router;

    LoadCompletionHandler(DispatcherComponents components, RequestRouter router) {
        this.context = components.context;
        this.registry = components.registry;
        this.queries = components.queries;
        this.leases = components.leases;
        this.loads = components.loads;
        this.replies = components.replies;
        this.residency = components.residency;
        this.router = router;
    }

    void onCompleted(String workerId, String function, int count, Outcome outcome, long tookNanos) {
        WorkerState worker = registry.find(workerId);
        LoadQueries.Query query = queries.takeAnswered(workerId, function);
        if (query == null) {
            onOrderCompleted(worker, function, outcome, outcome == Outcome.SERVED || count > 0, tookNanos);
        } else if (worker != null && leases.onQueryAnswered(worker, query, outcome)) {
            onLeaseAnswer(worker);
        } else if (worker != null) {
            onResidencyAnswer(worker, query.request(), count > 0);
        }
    }

    private void onLeaseAnswer(WorkerState worker) {
        if (!leases.isValid(worker)) {
            router.dropPendingLoads(worker);
        }
        for (RequestState state : replies.snapshot()) {
            if (state.awaitedLeaseWorker == worker) {
                router.endWaitForReplies(state);
            }
        }
        loads.sendPendingOrders();
    }

    private void onResidencyAnswer(WorkerState worker, Request request, boolean loaded) {
        residency.onAnswer(worker, request, loaded);
        for (RequestState state : replies.snapshot()) {
            if (residency.completesWait(state, worker, request.function(), loaded)) {
                router.endWaitForReplies(state);
            }
        }
    }

    private void onOrderCompleted(
            WorkerState worker, String function, Outcome outcome, boolean loaded, long tookNanos) {
        CachedFunction cached = worker == null ? null : worker.cachedFunctions.get(function);
        loads.onOrderCompleted(cached, loaded, tookNanos);
        if (cached != null) {
            cached.loadOrdered = false;
            leases.onWorkEnded(worker, outcome, cached.loadOrderedAt);
            if (loaded) {
                worker.lastResponseAt = context.now;
                cached.loading = false;
                cached.lastUsedAt = context.now;
                router.routeWaiting(cached, false);
            } else {
                router.drop(cached);
            }
        }
        loads.sendPendingOrders();
    }
}
