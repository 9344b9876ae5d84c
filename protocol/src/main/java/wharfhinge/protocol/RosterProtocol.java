package wharfhinge.protocol;

/** Names that a gateway and a roster use; docs/protocol-roster.md is the page. */
public final class RosterProtocol {
    /** The whole list, once: {@code GET}. */
    public static final String LIST_PATH = "/v1/roster";
    /** The stream of changes, with {@link #FROM_PARAMETER} where a revision is held: {@code GET}. */
    public static final String WATCH_PATH = "/v1/roster/watch";
    /** The revision that the asker holds. */
    public static final String FROM_PARAMETER = "?from=";
    /** The header in which a gateway gives its name. */
    public static final String GATEWAY = WorkerProtocol.GATEWAY.toString();

    private RosterProtocol() {}
}
