package wharfhinge.policy;

/** What {@link Endpoint#weight} holds: always 1, the capacity, the capacity roughly, or the capacity less the present load. */
public enum WeightReporting {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
