package wharfhinge.decisions.admission;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Admits calls or rejects them before any work is done for them, by tenant: a rate (token bucket), a number of pending calls and,
 * where the tenants together want more than the fleet bears, shares by weight. What the fleet bears is learned by
 * {@link FleetConcurrencyLimit}. Beyond it a tenant over its share is rejected while another is active; a tenant within its share
 * is admitted whatever the others do, so that a flood costs them nothing; what one leaves unused the others may have. A tenant
 * that is the only active one is never rejected for its share: then the policy sheds what is too much.
 *
 * <p>Counts nothing that the policy counts: a call rejected here never reaches it, and its rejections give no token back. A
 * chain is one call; its steps are not asked about. Tenants that the settings do not name share one entry. Pure; one thread.
 */
public final class AdmissionController {
    /** The entry of calls without a tenant, or of a tenant that is not named. */
    public static final String DEFAULT_TENANT = "";

    /** The decision on a call. */
    public enum Decision {
        /** It goes on to the policy. */
        ADMITTED,
        /** Its tenant's rate is exceeded. */
        OVER_RATE,
        /** Its tenant has as many pending calls as it may. */
        TOO_MANY_PENDING,
        /** The fleet is full and its tenant is over its share. */
        OVER_SHARE
    }

    /** How a call ended. */
    public enum CallEnd {
        /** A worker answered. */
        ANSWERED,
        /** The policy rejected it. */
        REJECTED,
        /** Neither: it failed, or its client cancelled it. */
        OTHER
    }

    /** A decision with the advice when to retry, nanoseconds from now; 0 where the call was admitted. */
    public record Verdict(Decision decision, long retryAfterNanos) {}

    /** Counters of a tenant since the start, and its calls pending now. */
    public record TenantMetrics(
            String tenant,
            int pending,
            long admitted,
            long rejectedByRate,
            long rejectedByPending,
            long rejectedByShare) {}

    private static final Verdict ADMITTED = new Verdict(Decision.ADMITTED, 0);
    /** A tenant that keeps to this part of its share on average may exceed it for a moment. */
    private static final double STEADY_PART = 0.9;
    /** Standard deviations of Poisson arrivals that such a tenant may exceed its share by. */
    private static final double BURST_DEVIATIONS = 3;
    /** About when some of the pending calls will have ended. */
    private static final long RETRY_AFTER_NANOS = 100_000_000L;

    private final Map<String, TenantAdmission> tenants = new LinkedHashMap<>();
    private final FleetConcurrencyLimit fleetLimit;
    private int pending;

    /**
     * A controller without any pending call.
     *
     * @throws InvalidAdmissionSettingsException where the settings have no entry for {@link #DEFAULT_TENANT}
     */
    public AdmissionController(AdmissionSettings settings) {
        fleetLimit = new FleetConcurrencyLimit(settings.fullAtObjectiveShare());
        settings.tenants().forEach((name, quota) -> tenants.put(name, new TenantAdmission(name, quota)));
        if (!tenants.containsKey(DEFAULT_TENANT)) {
            throw new InvalidAdmissionSettingsException("no entry for tenants that are not named");
        }
    }

    /** The entry that a tenant goes by; null counts as none. */
    private TenantAdmission entryOf(String tenant) {
        TenantAdmission known = tenant == null ? null : tenants.get(tenant);
        return known == null ? tenants.get(DEFAULT_TENANT) : known;
    }

    /** A call arrived; where it is admitted, {@link #onCallEnded} has to follow. */
    public Verdict onArrival(long nowNanos, String tenantName) {
        TenantAdmission tenant = entryOf(tenantName);
        tenant.onArrival(nowNanos);
        if (tenant.isPendingExhausted()) {
            return reject(tenant, Decision.TOO_MANY_PENDING, RETRY_AFTER_NANOS);
        }
        if (isOverShare(tenant, nowNanos)) {
            return reject(tenant, Decision.OVER_SHARE, RETRY_AFTER_NANOS);
        }
        OptionalLong tokenIn = tenant.acquireToken(nowNanos); // last, so that a call rejected otherwise costs no token
        if (tokenIn.isPresent()) {
            return reject(tenant, Decision.OVER_RATE, tokenIn.getAsLong());
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

    /** Calls that a tenant may have pending: its share, and where it keeps to that on average, what chance adds to it. */
    private double allowance(TenantAdmission tenant, long nowNanos) {
        double share = shareOf(tenant, nowNanos);
        boolean isSteady = tenant.meanPending() <= STEADY_PART * share;
        return isSteady ? share + BURST_DEVIATIONS * Math.sqrt(share) : share;
    }

    /** A tenant's part, by weight among the active ones, of the calls that the fleet bears. */
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

    /** An admitted call ended so long after it arrived; {@code objectiveNanos} is the latency objective of its class. */
    public void onCallEnded(long nowNanos, String tenantName, CallEnd end, long tookNanos, long objectiveNanos) {
        entryOf(tenantName).onCallEnded(nowNanos);
        fleetLimit.onCallEnded(nowNanos, pending, end, tookNanos, objectiveNanos);
        pending--;
    }

    /** Calls pending at once that the fleet is believed to bear. */
    public double limit() {
        return fleetLimit.limit();
    }

    /** Metrics by tenant, in the order of the settings. */
    public List<TenantMetrics> metrics() {
        return tenants.values().stream().map(TenantAdmission::metrics).toList();
    }
}
