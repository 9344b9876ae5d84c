package wharfhinge.policy;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

/**
 * One incarnation of a worker: a worker that restarts under its name gets a new instance. Holds state only; a comment
 * above each group of fields names the class that owns it. Used by the dispatcher's thread alone.
 */
final class WorkerState {
    /** Order in which workers were first listed. */
    static final Comparator<WorkerState> BY_ORDINAL = Comparator.comparingLong(worker -> worker.ordinal);

    /** A time before any event. */
    static final long NEVER = 0;

    /** Value of {@link #unobservedSince} while the worker is observed, over an open connection. */
    static final long OBSERVED = -1;

    private static final double INITIAL_OBJECTIVE_DIVISOR = 4.0;

    final String id;
    final long hash;

    /** Position in the order of first listing; a new incarnation keeps it. */
    final long ordinal;

    // WorkerRegistry
    Endpoint endpoint;
    boolean up;

    /** The endpoint when the active workers last changed; null if the worker was not active then. */
    Endpoint activeEndpoint;

    // EndpointLeases
    long leaseRenewedAt = NEVER;
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

    // FunctionAssignment; the least suited function is the first
    final TreeSet<FunctionStats> assignedFunctions = new TreeSet<>(FunctionStats.LEAST_SUITED_FIRST);
    double assignedMemoryMb;

    // EligibilityFilter, WorkerRanker, PreferredWorkers: valid for one selection or ranking, identified by its number
    long excludedInGeneration;
    long preferredInRanking;
    double preferenceScore;
    boolean inPreferenceOrders;

    // AttemptTracker
    int inFlight;
    long lastSentAt;
    long sendIntervalNanos;

    // ConcurrencyLimiter: smoothed latency, in nanoseconds and as a multiple of the request's latency objective
    double concurrencyLimit;
    double latencyNanos;
    double latencyToObjective;
    long latencySampledAt;
    long limitDecreasedAt;

    // LoadReportTracker: reported requests in flight from all dispatchers per unit of capacity
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
            double initialSlowStartTokens) {
        this.id = id;
        this.ordinal = ordinal;
        this.slowStartTokens = initialSlowStartTokens;
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

    /** Whether the worker was not active when the active workers last changed, or had another weight or kind. */
    boolean differsFromActiveEndpoint() {
        return activeEndpoint == null
                || activeEndpoint.weight() != endpoint.weight()
                || !Objects.equals(activeEndpoint.kind(), endpoint.kind());
    }

    /** Whether the worker started so recently that its share of the traffic is still ramped up. */
    boolean isWarmingUp(long now, long slowStartNanos) {
        return startedAt() > 0 && now - startedAt() < slowStartNanos;
    }

    /** When the worker started, as listed or as suspected, whichever is later; 0 if it started long ago. */
    long startedAt() {
        return Math.max(endpoint.startedAt(), suspectedStartAt);
    }
}
