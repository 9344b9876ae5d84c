package wharfhinge.worker.pack;

/** A package is not taken; the message names the place, what was found and what is allowed. */
public final class InvalidPackageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Refused at {@code place}. */
    public InvalidPackageException(String place, String reason) {
        super(place + ": " + reason);
    }
}
