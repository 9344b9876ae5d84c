package wharfhinge.worker.image;

/** Thrown if the package of a function cannot be provided at present. The message gives the reason for logs. */
public final class LoadFailedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception; the cause may be null. */
    public LoadFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
