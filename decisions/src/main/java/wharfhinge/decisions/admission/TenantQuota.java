package wharfhinge.decisions.admission;

/**
 * What one tenant may have.
 *
 * @param weight            its share against the others' where all together want too much; above 0
 * @param requestsPerSecond calls a second in the long run; 0 for no limit
 * @param burst             calls that may come at once after a pause, size of the token bucket; ignored without a rate
 * @param maxPending        calls pending at once; 0 for no limit
 */
public record TenantQuota(double weight, double requestsPerSecond, double burst, int maxPending) {
    /** Validates the values. */
    public TenantQuota {
        if (!(weight > 0) || requestsPerSecond < 0 || requestsPerSecond > 0 && burst < 1 || maxPending < 0) {
            throw new InvalidAdmissionSettingsException(
                    "tenant: found weight " + weight + ", " + requestsPerSecond + " a second with burst "
                            + burst + ", most open " + maxPending
                            + ", allowed: weight above 0, the others 0 or more, burst 1 or more with a rate");
        }
    }
}
