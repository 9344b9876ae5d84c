package wharfhinge.policy;

/** What a priority weight is given for: each request, or the work of each request. No decision of this module reads it. */
public enum PriorityUnit {
    REQUEST,
    WORK
}
