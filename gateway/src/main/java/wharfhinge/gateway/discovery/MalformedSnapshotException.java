package wharfhinge.gateway.discovery;

/** Thrown if an endpoint snapshot file is truncated or corrupted. The message says what was found. */
final class MalformedSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedSnapshotException(String message) {
        super(message);
    }

    MalformedSnapshotException(String message, Throwable cause) {
        super(message, cause);
    }
}
