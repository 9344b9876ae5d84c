package wharfhinge.policy;

/** State of a worker in the endpoint list. */
public enum Availability {
    UP,
    DRAINING,
    REMOVED
}
