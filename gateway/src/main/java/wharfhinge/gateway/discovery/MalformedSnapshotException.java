package wharfhinge.gateway.discovery;

/** A stored endpoint list is torn or damaged; the message says what was found. */
final class MalformedSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedSnapshotException(String message) {
        super(message);
    }

    MalformedSnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
