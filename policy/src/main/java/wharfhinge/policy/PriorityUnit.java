package wharfhinge.policy;

/** What a request's worth is counted by. */
public enum PriorityUnit {
    REQUEST,
    WORK
}
