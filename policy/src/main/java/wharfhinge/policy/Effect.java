package wharfhinge.policy;

/** What a repeated request of a class does. */
public enum Effect {
    IDEMPOTENT,
    DEDUPLICATED,
    AT_MOST_ONCE
}
