package wharfhinge.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Routes requests from their arrival to their final response: selects a worker, asks workers first where that helps,
 * lets the request wait where no worker can take it yet, and sends, rejects or fails it. Owns the requests that have no
 * final response yet or still have an attempt in flight.
 */
final class RequestRouter {
    /** Ticks before the client's deadline from which attempts in flight are no longer waited for. */
    private static final int IN_FLIGHT_MARGIN_TICKS = 3;

    /** Share of the latency objective that a request may wait for a free slot. */
    private static final double SLOT_WAIT_SHARE = 0.25;

    private final DispatcherContext context;
    private final FunctionCacheIndex cache;
    private final EligibilityFilter eligibility;
    private final WorkerRanker ranker;
    private final AdmissionController admission;
    private final IdempotencyGuard idempotency;
    private final LoadScheduler loads;
    private final RequestQueue queue;
    private final PendingReplies replies;
    private final ProbeCoordinator probes;
    private final ResidencyQueries residency;
    private final LeaseRenewal leaseRenewal;
    private final AttemptTracker attempts;
    private final Map<String, RequestState> requests = new HashMap<>();

    RequestRouter(DispatcherComponents components) {
        this.context = components.context;
        this.cache = components.cache;
        this.eligibility = components.eligibility;
        this.ranker = components.ranker;
        this.admission = components.admission;
        this.idempotency = components.idempotency;
        this.loads = components.loads;
        this.queue = components.queue;
        this.replies = components.replies;
        this.probes = components.probes;
        this.residency = components.residency;
        this.leaseRenewal = components.leaseRenewal;
        this.attempts = components.attempts;
    }

    void add(RequestState state) {
        requests.put(state.request.id(), state);
    }

    /** The request, or null once it has its final response and no attempt in flight. */
    RequestState find(String requestId) {
        return requests.get(requestId);
    }

    int size() {
        return requests.size();
    }

    /** Sends the request, lets it wait, or rejects or fails it. */
    void route(RequestState state) {
        if (state.shed || !attempts.mayAttemptAgain(state)) {
            rejectOrFail(state);
            return;
        }
        WorkerState worker = eligibility.select(state) ? ranker.rank(state) : null;
        if (worker != null) {
            dispatch(state, worker);
        } else if (idempotency.mayRetryLater(state)) {
            queue.add(state);
        } else {
            rejectOrFail(state);
        }
    }

    /** Sends the request to the worker, unless it has to wait first or is not admitted. */
    private void dispatch(RequestState state, WorkerState worker) {
        CachedFunction cached = worker.cachedFunctions.get(state.function());
        if (residency.isNeeded(state)) {
            residency.send(state);
        } else if (context.loadsOnlyByOrder && cached != null && cached.loadOrdered && cached.loading) {
            queue.awaitLoad(state, cached);
        } else if (!isAdmitted(state, worker)) {
            rejectOrFail(state);
        } else if (shouldAwaitSlot(state, worker)) {
            queue.add(state);
        } else if (!leaseRenewal.renewBeforeSend(state, worker) && !probes.probeBeforeSend(state, worker)) {
            send(state, worker);
        }
    }

    /**
     * Whether the request may be sent to the worker: it causes no load beyond the limit on loads, the fleet is not
     * saturated, and neither is the worker where it has the function loaded.
     */
    private boolean isAdmitted(RequestState state, WorkerState worker) {
        String function = state.function();
        if (isLoadOnDemandAtLimit() && !cache.isCached(worker, function) || admission.isFleetSaturated()) {
            return false;
        }
        return !cache.isLoaded(worker, function) || admission.isBelowRejectLimit(worker);
    }

    /** Whether workers load on demand and the limit of loads in flight is reached. */
    private boolean isLoadOnDemandAtLimit() {
        return !context.loadsOnlyByOrder && loads.isAtLimit();
    }

    /**
     * Whether the request should wait for a free slot of the worker's copy.
     *
     * <p>Departure from the source design: it acts while the limit of loads in flight is reached. It guards against the
     * further copy that a worker loads for a request that finds no free slot, a load that the limit is meant to
     * prevent. It may hurt where a slow request occupies the slot, and since a free slot is noticed only at the next
     * maintenance tick.
     */
    private boolean shouldAwaitSlot(RequestState state, WorkerState worker) {
        return isLoadOnDemandAtLimit()
                && cache.isLoaded(worker, state.function())
                && !ranker.hasFreeSlot(worker, state.request)
                && context.now - state.arrivedAt < SLOT_WAIT_SHARE * state.latencyObjectiveNanos;
    }

    void send(RequestState state, WorkerState worker) {
        queue.remove(state);
        attempts.send(state, worker);
    }

    /**
     * Routes a request that waited for replies, whether or not all have arrived; does nothing if it no longer waits. A
     * request that waited for a lease goes to that worker even if others rank higher by now, since they would have to
     * be queried in turn.
     */
    void endWaitForReplies(RequestState state) {
        if (!replies.remove(state)) {
            return;
        }
        WorkerState leasedWorker = leaseRenewal.onWaitEnded(state);
        probes.onWaitEnded(state);
        state.awaitedWorkers.clear();
        if (leasedWorker != null
                && eligibility.select(state)
                && eligibility.isEligible(leasedWorker)
                && isAdmitted(state, leasedWorker)) {
            send(state, leasedWorker);
        } else {
            route(state);
        }
    }

    /**
     * Ends the request without success: rejected where a retry is harmless, failed otherwise. A request that cannot be
     * rejected stays open while it has an attempt in flight, until shortly before its deadline.
     */
    void rejectOrFail(RequestState state) {
        long marginNanos = IN_FLIGHT_MARGIN_TICKS * context.settings.tickNanos();
        if (idempotency.mayReject(state)) {
            context.actions.reject(state.request.id(), admission.retryAfterNanos(state));
        } else if (!state.attemptsInFlight.isEmpty() && context.now < state.deadline() - marginNanos) {
            return; // the attempt in flight may still serve it; its end or the deadline ends the request
        } else {
            context.actions.fail(state.request.id());
        }
        finish(state);
    }

    void finish(RequestState state) {
        state.finished = true;
        queue.remove(state);
        replies.remove(state);
        if (state.awaitedLoad != null) {
            state.awaitedLoad.waitingRequests.remove(state);
        }
        if (state.attemptsInFlight.isEmpty()) {
            requests.remove(state.request.id());
        }
    }

    /** Removes the cache entry; requests that wait for its load are sent elsewhere. */
    void drop(CachedFunction cached) {
        cache.remove(cached);
        loads.cancelPending(cached);
        routeWaiting(cached, true);
    }

    /** Drops the cache entries whose load orders for the worker are still pending. */
    void dropPendingLoads(WorkerState worker) {
        for (CachedFunction cached : List.copyOf(worker.cachedFunctions.values())) {
            if (loads.isPending(cached)) {
                drop(cached);
            }
        }
    }

    /**
     * Routes the requests that waited for the load.
     *
     * @param elsewhere whether to avoid the worker of the load
     */
    void routeWaiting(CachedFunction cached, boolean elsewhere) {
        List<RequestState> waiting = List.copyOf(cached.waitingRequests);
        cached.waitingRequests.clear();
        for (RequestState state : waiting) {
            state.awaitedLoad = null;
            if (elsewhere) {
                state.triedWorkers.add(cached.worker);
            }
            route(state);
        }
    }

    /** Routes the queued requests that wait for no load, and ends those that can no longer be served in time. */
    void retryQueued() {
        for (RequestState state : queue.snapshot()) {
            if (queue.cannotMeetDeadline(state)) {
                rejectOrFail(state);
            } else if (state.awaitedLoad == null) {
                queue.remove(state);
                route(state);
            }
        }
    }
}
