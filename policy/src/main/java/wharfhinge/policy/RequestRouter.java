package wharfhinge.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The way of a request from its arrival to its final answer: find a worker, ask workers first where that helps, wait
 * where no worker can take it yet, send it, or give it up. It owns the requests that have no final answer yet or still
 * have an attempt in flight.
 */
final class RequestRouter {
    /** Ticks before the client's deadline from which a request in flight is no longer waited for. */
    private static final int IN_FLIGHT_MARGIN_TICKS = 3;

    /** Part of the latency objective that a request may wait for a free slot. */
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

    /** The request, or null once it has its final answer and nothing of it is in flight. */
    RequestState find(String requestId) {
        return requests.get(requestId);
    }

    /** Sends the request, lets it wait, or gives it up. */
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

    /** Whether the request may go to the worker: no load beyond the limit, no worker beyond its own. */
    private boolean isAdmitted(RequestState state, WorkerState worker) {
        String function = state.function();
        if (isLoadHeldBack() && !cache.isCached(worker, function) || admission.isFleetSaturated()) {
            return false;
        }
        return !cache.isLoaded(worker, function) || admission.hasRoom(worker);
    }

    /** Whether workers load on demand and as many loads are in flight as may be. */
    private boolean isLoadHeldBack() {
        return !context.loadsOnlyByOrder && loads.isAtLimit();
    }

    /**
     * Whether the request should wait for a free slot of the worker's copy.
     *
     * <p>Departure from the source design: it acts while as many loads are in flight as may be. It guards against the
     * load of a further copy that a worker starts for a request behind a taken slot, which the limit is to hold back.
     * It may hurt where the slot is taken by a slow request, and since a free slot is seen only at the next tick.
     */
    private boolean shouldAwaitSlot(RequestState state, WorkerState worker) {
        return isLoadHeldBack()
                && cache.isLoaded(worker, state.function())
                && !ranker.hasFreeSlot(worker, state.request)
                && context.now - state.arrivedAt < SLOT_WAIT_SHARE * state.latencyObjectiveNanos;
    }

    void send(RequestState state, WorkerState worker) {
        queue.remove(state);
        attempts.send(state, worker);
    }

    /**
     * Routes a request that waited for replies, whether all came or not; nothing if it waits no longer. Where it waited
     * for a lease, it goes to that worker even if others rank before it by now: they would be queried in turn.
     */
    void endWaitForReplies(RequestState state) {
        if (!replies.remove(state)) {
            return;
        }
        WorkerState leased = leaseRenewal.onWaitEnded(state);
        probes.onWaitEnded(state);
        state.awaitedWorkers.clear();
        if (leased != null
                && eligibility.select(state)
                && eligibility.isEligible(leased)
                && isAdmitted(state, leased)) {
            send(state, leased);
        } else {
            route(state);
        }
    }

    /** Final answer without success: rejected where a retry is harmless, else failed. */
    void rejectOrFail(RequestState state) {
        long marginNanos = IN_FLIGHT_MARGIN_TICKS * context.settings.tickNanos();
        if (idempotency.mayReject(state)) {
            context.actions.reject(state.request.id(), admission.retryAfterNanos(state));
        } else if (state.inFlight > 0 && context.now < state.deadline() - marginNanos) {
            return; // the attempt in flight may serve it; its end or the deadline decides
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
        if (state.inFlight == 0) {
            requests.remove(state.request.id());
        }
    }

    /** Drops the belief that the function is on the worker; what waits for its load is sent elsewhere. */
    void drop(CachedFunction cached) {
        cache.remove(cached);
        loads.cancelPending(cached);
        routeWaiting(cached, true);
    }

    /** Drops the loads that wait to be ordered on the worker. */
    void dropPendingLoads(WorkerState worker) {
        for (CachedFunction cached : List.copyOf(worker.cachedFunctions.values())) {
            if (loads.isPending(cached)) {
                drop(cached);
            }
        }
    }

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

    /** Routes queued requests that wait for no load again, and gives up those that can't be served in time. */
    void retryQueued() {
        for (RequestState state : queue.snapshot()) {
            if (queue.isHopeless(state)) {
                rejectOrFail(state);
            } else if (state.awaitedLoad == null) {
                queue.remove(state);
                route(state);
            }
        }
    }
}
