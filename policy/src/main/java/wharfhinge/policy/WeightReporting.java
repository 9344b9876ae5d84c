package wharfhinge.policy;

/**
 * What {@link Endpoint#weight} contains: always 1, the capacity, the approximate capacity, or the capacity less the
 * present load.
 */
public enum WeightReporting {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
