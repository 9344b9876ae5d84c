package wharfhinge.policy;

/** What {@link Endpoint#weight} holds: always 1, the size, the size roughly, or the size less present load. */
public enum WeightReporting {
    SILENT,
    NOMINAL,
    ROUGH,
    LIVE
}
