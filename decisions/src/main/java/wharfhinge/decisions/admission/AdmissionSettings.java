package wharfhinge.decisions.admission;

import java.util.Map;

/**
 * Settings of an {@link AdmissionController}.
 *
 * @param tenants              quotas by tenant, with an entry for {@link AdmissionController#DEFAULT_TENANT}
 * @param fullAtObjectiveShare part of its latency objective, 0 to 1, that an answer may take before the fleet counts as full; set
 *                             below what calls take on an idle fleet, it always does
 */
public record AdmissionSettings(Map<String, TenantQuota> tenants, double fullAtObjectiveShare) {
    /** The default: an answer beyond it is close to its objective. */
    public static final double DEFAULT_FULL_AT_OBJECTIVE_SHARE = 0.7;
}
