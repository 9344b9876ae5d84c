package wharfhinge.policy;

/** Unit by which a request's priority weight counts: each request, or its work. */
public enum PriorityUnit {
    REQUEST,
    WORK
}
