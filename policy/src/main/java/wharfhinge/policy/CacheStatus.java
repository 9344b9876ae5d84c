package wharfhinge.policy;

/**
 * What a response says about the function on the worker. In the order of the constants: nothing; it was loaded already;
 * it was loaded for this request; the request waited for a load that was in progress; it failed to load.
 */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    LOAD_STARTED,
    LOAD_AWAITED,
    LOAD_FAILED
}
