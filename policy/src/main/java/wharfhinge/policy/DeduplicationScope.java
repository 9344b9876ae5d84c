package wharfhinge.policy;

/** The set of workers that together discard repeats of a {@link Effect#DEDUPLICATED} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
