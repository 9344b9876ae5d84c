package wharfhinge.policy;

/** What a worker does with a request whose function is not loaded: it loads it, or answers a miss. */
public enum OnMissBehavior {
    LOAD,
    MISS
}
