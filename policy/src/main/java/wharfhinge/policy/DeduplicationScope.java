package wharfhinge.policy;

/** The workers that discard repeats of a {@link Effect#DEDUPLICATED} request among them. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL
}
