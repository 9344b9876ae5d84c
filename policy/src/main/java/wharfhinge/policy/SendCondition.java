package wharfhinge.policy;

/**
 * Under which condition a message may be written to a worker, as long as the endpoint list is not known to be current.
 *
 * @param notAfter        time of the dispatcher's clock from which on its first byte may not be written any more
 * @param onNewConnection whether it has to go over a connection that is opened for it
 */
public record SendCondition(long notAfter, boolean onNewConnection) {
    /** The message may be written at any time, over any connection. */
    public static final SendCondition NONE = new SendCondition(Long.MAX_VALUE, false);

    /** What a message is for. */
    public enum Purpose {
        /** A call or a load order: new work, which a draining worker must not get. */
        WORK,
        /** A query of loaded copies, which may go to a draining worker. */
        QUERY
    }
}
