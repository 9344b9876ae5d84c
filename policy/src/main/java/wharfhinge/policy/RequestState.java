package wharfhinge.policy;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** A request from its arrival until it has its final answer and no attempt of it is in flight. Plain state. */
final class RequestState {
    final Request request;
    final RequestClass requestClass;
    final ServiceTimeEstimate serviceTime;
    final long arrivedAt;
    final long functionHash;

    /** The class's latency objective, or the client's remaining time where that is less. */
    final long latencyObjectiveNanos;

    /** The function's share of this dispatcher's requests, before this one. */
    final double trafficShare;

    final List<Attempt> attempts = new ArrayList<>(2);

    /** Attempts that may have run on their worker: those not proved to have had no effect. */
    final List<Attempt> possiblyExecuted = new ArrayList<>(2);

    /** Workers that failed it, which are avoided while there are others. */
    final Set<WorkerState> triedWorkers = new LinkedHashSet<>();

    /** Workers whose reply to a probe or a residency query it waits for. */
    final Set<WorkerState> awaitedWorkers = new LinkedHashSet<>();

    /** Workers that were queried for a lease for it. */
    final Set<WorkerState> renewedLeases = new LinkedHashSet<>();

    /** The worker whose lease it waits for, or null. */
    WorkerState awaitedLease;

    /** The load that it waits for, or null. */
    CachedFunction awaitedLoad;

    int inFlight;
    boolean streaming;
    boolean finished;

    /** Probes or residency queries were made for it: at most once for a request. */
    boolean queried;

    /** Chosen on arrival to be shed. */
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

    /** When the client gives up. */
    long deadline() {
        return arrivedAt + request.remainingNanos();
    }
}
