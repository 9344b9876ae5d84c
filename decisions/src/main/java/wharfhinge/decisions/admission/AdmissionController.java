package wharfhinge.decisions.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Admits calls or rejects them before any work is done for them. Each tenant has a rate limit (token bucket), a limit on its
 * pending calls and a weighted share of the fleet's concurrency limit, which {@link FleetConcurrencyLimit} learns.
 *
 * <p>Shares apply only while the concurrency limit is nearly reached. A tenant over its share is then rejected if another tenant
 * is active. A tenant within its share is not affected by the load of the others, so a flood from one tenant costs the others
 * nothing. Capacity that one tenant leaves unused is available to the others. A tenant that is the only active one is never
 * rejected for exceeding its share: in that case load shedding is left to the policy.
 *
 * <p>No call is counted as rejected both here and by the policy: a call rejected here never reaches the policy. A call that the
 * policy rejects gives no token back. A chain counts as one call; its steps are not checked. Tenants that the settings do not name
 * share one entry. No I/O, clock or thread; not thread-safe.
 */
public final class AdmissionController {
    /** Name of the quota entry for calls without a tenant and for tenants that the settings do not name. */
    public static final String DEFAULT_TENANT = "";

    /** The decision on a call. */
    public enum Decision {
        /** The call goes on to the policy. */
        ADMITTED,
        /** The rate limit of the tenant is exceeded. */
        OVER_RATE,
        /** The tenant has reached its limit of pending calls. */
        TOO_MANY_PENDING,
        /** The fleet's concurrency limit is nearly reached and the tenant exceeds its share. */
        OVER_SHARE
    }

    /** How a call ended. */
    public enum CallEnd {
        /** A worker answered. */
        ANSWERED,
        /** The policy rejected the call. */
        REJECTED,
        /** The call failed, or its client cancelled it. */
        OTHER
    }

    /** A decision and the time until a retry is advised, in nanoseconds; 0 if the call was admitted. */
    public record Verdict(Decision decision, long retryAfterNanos) {}

    /** Counters of a tenant since the start of the process, and the number of its pending calls. */
    public record TenantMetrics(
            String tenant,
            int pending,
            long admitted,
            long rejectedByRate,
            long rejectedByPending,
            long rejectedByShare) {}

    private static final Verdict ADMITTED = new Verdict(Decision.ADMITTED, 0);
    /** A tenant whose average of pending calls is at most this fraction of its share may exceed the share briefly. */
    private static final double STEADY_FRACTION = 0.9;
    /** Margin above the share of a tenant whose average is low, in standard deviations of Poisson arrivals. */
    private static final double BURST_DEVIATIONS = 3;
    /** Rough time until some of the pending calls have ended. */
    private static final long RETRY_AFTER_NANOS = 100_000_000L;

    private final Map<String, TenantAdmission> tenants = new LinkedHashMap<>();
    private final FleetConcurrencyLimit fleetLimit;
    private int pending;

    /**
     * Creates a controller without pending calls.
     *
     * @throws InvalidAdmissionSettingsException if the settings have no entry for {@link #DEFAULT_TENANT}
     */
    public AdmissionController(AdmissionSettings settings) {
        fleetLimit = new FleetConcurrencyLimit(settings.fullAtObjectiveShare());
        settings.tenants().forEach((name, quota) -> tenants.put(name, new TenantAdmission(name, quota)));
        if (!tenants.containsKey(DEFAULT_TENANT)) {
            throw new InvalidAdmissionSettingsException(
                    "tenants: found no entry '', allowed: one for tenants that are not named");
        }
    }

    /** The quota entry that applies to a tenant; null for a call without a tenant. */
    private TenantAdmission entryOf(String tenant) {
        TenantAdmission known = tenant == null ? null : tenants.get(tenant);
        return known == null ? tenants.get(DEFAULT_TENANT) : known;
    }

    /** Decides on a call that arrived. If the call is admitted, {@link #onCallEnded} must follow. */
    public Verdict onArrival(long nowNanos, String tenantName) {
        TenantAdmission tenant = entryOf(tenantName);
        tenant.onArrival(nowNanos);
        if (tenant.isPendingLimitReached()) {
            return reject(tenant, Decision.TOO_MANY_PENDING, RETRY_AFTER_NANOS);
        }
        if (isOverShare(tenant, nowNanos)) {
            return reject(tenant, Decision.OVER_SHARE, RETRY_AFTER_NANOS);
        }
        OptionalLong nanosUntilToken =
                tenant.acquireToken(nowNanos); // last, so that a call rejected for another reason takes no token
        if (nanosUntilToken.isPresent()) {
            return reject(tenant, Decision.OVER_RATE, nanosUntilToken.getAsLong());
        }
        tenant.onAdmitted();
        pending++;
        return ADMITTED;
    }

    private static Verdict reject(TenantAdmission tenant, Decision decision, long retryAfterNanos) {
        tenant.onRejected(decision);
        return new Verdict(decision, retryAfterNanos);
    }

    private boolean isOverShare(TenantAdmission tenant, long nowNanos) {
        return fleetLimit.isNearlyReached(pending)
                && tenant.pending() + 1 > allowance(tenant, nowNanos)
                && !isOnlyActive(tenant, nowNanos);
    }

    /** Number of calls that a tenant may have pending: its share, plus a margin for random bursts if its average is low. */
    private double allowance(TenantAdmission tenant, long nowNanos) {
        double share = shareOf(tenant, nowNanos);
        boolean isSteady = tenant.meanPending() <= STEADY_FRACTION * share;
        return isSteady ? share + BURST_DEVIATIONS * Math.sqrt(share) : share;
    }

    /** A tenant's share of the fleet's concurrency limit, by its weight among the active tenants; at least 1. */
    private double shareOf(TenantAdmission tenant, long nowNanos) {
        double weights = 0;
        for (TenantAdmission other : tenants.values()) {
            weights += other.isActive(nowNanos) ? other.weight() : 0;
        }
        return Math.max(1, fleetLimit.limit() * tenant.weight() / weights);
    }

    private boolean isOnlyActive(TenantAdmission tenant, long nowNanos) {
        for (TenantAdmission other : tenants.values()) {
            if (other != tenant && other.isActive(nowNanos)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Records the end of an admitted call.
     *
     * @param latencyNanos   time from the arrival of the call to its end
     * @param objectiveNanos latency objective of its class
     */
    public void onCallEnded(long nowNanos, String tenantName, CallEnd end, long latencyNanos, long objectiveNanos) {
        entryOf(tenantName).onCallEnded(nowNanos);
        fleetLimit.onCallEnded(nowNanos, pending, end, latencyNanos, objectiveNanos);
        pending--;
    }

    /** Estimated number of calls that the fleet can serve concurrently. */
    public double limit() {
        return fleetLimit.limit();
    }

    /** Metrics of each tenant, in the order of the settings. */
    public List<TenantMetrics> metrics() {
        return tenants.values().stream().map(TenantAdmission::metrics).toList();
    }
}
