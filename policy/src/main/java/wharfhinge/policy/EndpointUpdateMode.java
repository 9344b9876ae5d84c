package wharfhinge.policy;

/** How a list came: what changed, the whole, the whole as last held, or no list (refused). */
public enum EndpointUpdateMode {
    INCREMENTAL,
    FULL,
    SNAPSHOT,
    REJECTED
}
