package wharfhinge.policy;

/** What a worker does with a request whose function is not loaded: it loads the function, or responds with a miss. */
public enum OnMissBehavior {
    LOAD,
    MISS
}
