package wharfhinge.policy;

/**
 * Whether a request of a class may be repeated once it may have executed: always, within the scope of workers that
 * discard repeats, or never.
 */
public enum Effect {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
}
