package wharfhinge.decisions.admission;

import java.util.Map;

/**
 * Settings of an {@link AdmissionController}.
 *
 * @param tenants              quotas by tenant, with an entry for {@link AdmissionController#DEFAULT_TENANT}
 * @param fullAtObjectiveShare fraction of the latency objective, 0 to 1, above which an answer indicates a full fleet; if set below
 *                             the latency on an idle fleet, the fleet always counts as full
 */
public record AdmissionSettings(Map<String, TenantQuota> tenants, double fullAtObjectiveShare) {
    /** Default fraction: an answer that takes longer is close to its objective. */
    public static final double DEFAULT_FULL_AT_OBJECTIVE_SHARE = 0.7;
}
