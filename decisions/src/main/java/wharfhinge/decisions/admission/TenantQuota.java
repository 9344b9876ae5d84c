package wharfhinge.decisions.admission;

/**
 * Limits of one tenant.
 *
 * @param weight            weight of its share when the tenants together exceed the fleet's concurrency limit; above 0
 * @param requestsPerSecond sustained rate limit in calls per second; 0 for no limit
 * @param burst             size of the token bucket: calls that may arrive at once after a pause; ignored without a rate limit
 * @param maxPending        limit of pending calls; 0 for no limit
 */
public record TenantQuota(double weight, double requestsPerSecond, double burst, int maxPending) {
    /**
     * Validates the limits.
     *
     * @throws InvalidAdmissionSettingsException if a limit is out of range
     */
    public TenantQuota {
        if (!(weight > 0) || requestsPerSecond < 0 || requestsPerSecond > 0 && burst < 1 || maxPending < 0) {
            throw new InvalidAdmissionSettingsException(
                    "tenant: found weight " + weight + ", " + requestsPerSecond + " calls per second with burst "
                            + burst + ", pending limit " + maxPending
                            + ", allowed: weight above 0, the others 0 or more, burst 1 or more with a rate limit");
        }
    }
}
