package wharfhinge.policy;

/** What {@link Endpoint#weight} holds: always 1, capacity, rough capacity, or capacity less the present load. */
public enum WeightReporting {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
