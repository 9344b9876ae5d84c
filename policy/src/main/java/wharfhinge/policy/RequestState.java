package wharfhinge.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A request, from its arrival until it has its final response and no attempt in flight. Holds state only. */
final class RequestState {
    final Request request;
    final RequestClass requestClass;
    final ServiceTimeEstimate serviceTime;
    final long arrivedAt;
    final long functionHash;

    /** The class's latency objective, or the client's remaining time where that is less. */
    final long latencyObjectiveNanos;

    /** The function's share of this dispatcher's recent requests, without this one. */
    final double trafficShare;

    final List<Attempt> attempts = new ArrayList<>(2);

    /** Attempts that have not ended. */
    final List<Attempt> attemptsInFlight = new ArrayList<>(2);

    /** Attempts that may have been executed: all but those whose outcome proves that they were not. */
    final List<Attempt> possiblyExecuted = new ArrayList<>(2);

    /**
     * Workers on which an attempt failed or is overdue, on which the awaited load was dropped, or whose lease query is
     * unanswered; avoided while there are others.
     */
    final Set<WorkerState> triedWorkers = new LinkedHashSet<>();

    /** Workers whose reply to a probe or a residency query the request waits for. */
    final Set<WorkerState> awaitedWorkers = new LinkedHashSet<>();

    /** Workers whose lease renewal the request waits for, or has waited for. */
    final Set<WorkerState> leaseQueriedWorkers = new LinkedHashSet<>();

    /** The worker whose lease the request waits for, or null. */
    WorkerState awaitedLeaseWorker;

    /** The load that the request waits for, or null. */
    CachedFunction awaitedLoad;

    boolean streaming;
    boolean finished;

    /** Whether probes or residency queries were considered for the request; this happens at most once. */
    boolean queried;

    /** Whether the request was selected on arrival to be shed. */
    boolean shed;

    RequestState(
            Request request,
            RequestClass requestClass,
            ServiceTimeEstimate serviceTime,
            long arrivedAt,
            double trafficShare) {
        this.request = request;
        this.requestClass = requestClass;
        this.serviceTime = serviceTime;
        this.arrivedAt = arrivedAt;
        this.trafficShare = trafficShare;
        this.latencyObjectiveNanos = Math.min(requestClass.latencyObjectiveNanos(), request.remainingNanos());
        this.functionHash = PreferredWorkers.mix(request.function().hashCode());
    }

    String function() {
        return request.function();
    }

    /** The client's deadline. */
    long deadline() {
        return arrivedAt + request.remainingNanos();
    }
}
