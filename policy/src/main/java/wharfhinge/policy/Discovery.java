package wharfhinge.policy;

/** How lists come: unasked, or only where {@link DispatcherActions#watchEndpoints} or {@link DispatcherActions#refreshEndpoints} asked. */
public enum Discovery {
    PUSHED,
    ON_REQUEST
}
