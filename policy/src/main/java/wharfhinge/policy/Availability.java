package wharfhinge.policy;

/** What the list says of a worker. */
public enum Availability {
    UP,
    DRAINING,
    REMOVED
}
