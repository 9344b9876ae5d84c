package wharfhinge.policy;

/** What a served answer says of the copy, or that a load failed. */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    LOAD_STARTED,
    LOAD_AWAITED,
    LOAD_FAILED
}
