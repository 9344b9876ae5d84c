package wharfhinge.policy;

/** What a request's priority weight multiplies: each request as one, or its work. */
public enum PriorityUnit {
    REQUEST,
    WORK
}
