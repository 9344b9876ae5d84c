package wharfhinge.policy;

/**
 * What an endpoint update has: the changes, the full list, the last known full list, or nothing since the watch was
 * rejected.
 */
public enum EndpointUpdateMode {
    INCREMENTAL,
    FULL,
    SNAPSHOT,
    REJECTED
}
