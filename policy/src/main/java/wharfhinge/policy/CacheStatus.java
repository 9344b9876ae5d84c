package wharfhinge.policy;

/**
 * What a response says about the function on the worker: nothing, already loaded, loaded for this request, waited for a
 * load that was in progress, or failed to load.
 */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    LOAD_STARTED,
    LOAD_AWAITED,
    LOAD_FAILED
}
