package wharfhinge.decisions.admission;

import java.util.Map;

/**
 * What a door is told.
 *
 * @param tenants limits by tenant, with an entry for {@link AdmissionController#OTHERS}
 * @param fullAtObjectiveShare  part of its aim, 0 to 1, that an answer may take before the fleet counts as full; below what calls take on an idle
 *                fleet it would never be anything else
 */
public record AdmissionSettings(Map<String, TenantQuota> tenants, double fullAtObjectiveShare) {
    /** Where nothing is told: the next answer is late. */
    public static final double USUAL_FULL_AT = 0.7;
}
