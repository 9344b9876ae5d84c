package wharfhinge.adapter;

/** Input that violates the line protocol; the message names the line and the reason. */
final class MalformedInputException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedInputException(long line, String reason) {
        super("line " + line + ": " + reason);
    }
}
