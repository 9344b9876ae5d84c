package wharfhinge.worker.pack;

/** Thrown if a package is rejected. The message names the place, what was found and what is allowed. */
public final class InvalidPackageException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception for a fault at {@code place}. */
    public InvalidPackageException(String place, String reason) {
        super(place + ": " + reason);
    }
}
