package wharfhinge.policy;

/** What an answer says of the function on the worker: already loaded, loaded for it, waited for, or failed to load. */
public enum CacheStatus {
    UNKNOWN,
    HIT,
    LOAD_STARTED,
    LOAD_AWAITED,
    LOAD_FAILED
}
