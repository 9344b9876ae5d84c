package wharfhinge.policy;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One incarnation of a worker: a worker that restarts under its name gets a new instance. Plain state; each group of
 * fields names the class that owns it. Used by the dispatcher's thread alone.
 */
final class WorkerState {
    /** Order in which workers were first listed. */
    static final Comparator<WorkerState> BY_ORDINAL = Comparator.comparingLong(worker -> worker.ordinal);

    /** A time before all others. */
    static final long NEVER = 0;

    /** In place of the time since when it is not observed: a connection to it is open. */
    static final long OBSERVED = -1;

    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    final String id;
    final long hash;

    /** Position in the order of first listing; a new incarnation keeps it. */
    final long ordinal;

    // WorkerRegistry
    Endpoint endpoint;
    boolean up;

    // EndpointLeases
    long leaseProvenAt = NEVER;
    long leaseRevokedAt = NEVER;
    long leaseRevokedUntil = NEVER;
    long leaseRevocationNanos = EndpointLeases.FIRST_REVOCATION_NANOS;
    long leaseQueriedAt = NEVER;
    long unobservedSince;
    boolean connectedBefore;
    boolean mayHaveRestarted;
    long suspectedStartAt = NEVER;

    // FunctionCacheIndex
    final Map<String, CachedFunction> cachedFunctions = new LinkedHashMap<>();

    // FunctionAssignment
    final Set<FunctionStats> assignedFunctions = new LinkedHashSet<>();
    double assignedMemoryMb;

    // EligibilityFilter, WorkerRanker, PreferredWorkers: valid for one query, identified by its generation
    long excludedInGeneration;
    long preferredInRanking;
    double preferenceScore;

    // AttemptTracker
    int inFlight;
    long lastSentAt;
    long sendIntervalNanos;

    // ConcurrencyLimiter: the latency is smoothed, also as a multiple of the class's objective
    double concurrencyLimit;
    double latencyNanos;
    double latencyToObjective;
    long latencySampledAt;
    long limitCutAt;

    // LoadReportTracker: requests in flight from all dispatchers, for each unit of capacity
    double reportedLoad;
    long reportedAt;

    // OutlierDetector
    boolean ejected;
    double failureRate;
    int overdueAttempts;
    long lastResponseAt;
    long trialAt;
    long ejectionNanos = OutlierDetector.FIRST_EJECTION_NANOS;

    // SlowStartBudget
    double slowStartTokens;
    long slowStartRefilledAt;

    WorkerState(
            String id,
            long ordinal,
            long now,
            double concurrencyLimit,
            long latencyObjectiveNanos,
            double slowStartPhase) {
        this.id = id;
        this.ordinal = ordinal;
        this.slowStartTokens = slowStartPhase;
        this.concurrencyLimit = concurrencyLimit;
        this.latencyNanos = latencyObjectiveNanos / INITIAL_OBJECTIVE_DIVISOR;
        this.unobservedSince = now;
        this.lastResponseAt = now;
        this.slowStartRefilledAt = now;
        this.hash = PreferredWorkers.mix(id.hashCode());
    }

    /** Capacity relative to other workers, as listed; 1 where none is listed. */
    double capacity() {
        return endpoint.weight() > 0 ? endpoint.weight() : 1;
    }

    /** Whether it started so recently that its share of the traffic is still ramped up. */
    boolean isWarmingUp(long now, long slowStartNanos) {
        return startedAt() > 0 && now - startedAt() < slowStartNanos;
    }

    /** When it started, as listed or as suspected; 0 if that was long ago. */
    long startedAt() {
        return Math.max(endpoint.startedAt(), suspectedStartAt);
    }
}
