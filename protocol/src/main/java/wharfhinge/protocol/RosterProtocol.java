package wharfhinge.protocol;

/**
 * Paths and headers of the protocol between gateway and endpoint service (the roster), which docs/protocol-roster.md
 * specifies.
 */
public final class RosterProtocol {
    /** Path of the full endpoint list, sent once: {@code GET}. */
    public static final String LIST_PATH = "/v1/roster";
    /** Path of the stream of changes: {@code GET}, with {@link #FROM_PARAMETER} if the gateway holds a revision. */
    public static final String WATCH_PATH = "/v1/roster/watch";
    /** Parameter of {@link #WATCH_PATH}: the revision that the gateway holds. */
    public static final String FROM_PARAMETER = "?from=";
    /** The header that holds the gateway's name. */
    public static final String GATEWAY = WorkerProtocol.GATEWAY.toString();

    private RosterProtocol() {}
}
