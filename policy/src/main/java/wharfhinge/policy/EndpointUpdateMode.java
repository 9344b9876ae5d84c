package wharfhinge.policy;

/**
 * What an endpoint update contains: the changes, the full list, the last known full list, or nothing because the watch
 * was rejected.
 */
public enum EndpointUpdateMode {
    INCREMENTAL,
    FULL,
    SNAPSHOT,
    REJECTED
}
