package wharfhinge.policy;

/**
 * How endpoint lists arrive: pushed, or only after {@link DispatcherActions#watchEndpoints} or {@link
 * DispatcherActions#refreshEndpoints}.
 */
public enum Discovery {
    PUSHED,
    ON_REQUEST
}
