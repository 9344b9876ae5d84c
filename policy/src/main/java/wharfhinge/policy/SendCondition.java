package wharfhinge.policy;

/**
 * The condition under which a message may be written to a worker, so that a worker that drains unnoticed, since the
 * endpoint list is stale, gets no new work.
 *
 * @param notAfter        time of the dispatcher's clock from which on the message's first byte must not be written
 * @param onNewConnection whether the message has to be written to a connection that is opened for it
 */
public record SendCondition(long notAfter, boolean onNewConnection) {
    /** No condition: the message may be written at any time, over any connection. */
    public static final SendCondition NONE = new SendCondition(Long.MAX_VALUE, false);

    /** What a message is for. */
    public enum Purpose {
        /** A call or a load order: new work, which a draining worker must not get. */
        WORK,
        /** A query of loaded copies, which may go to a draining worker. */
        QUERY
    }
}
