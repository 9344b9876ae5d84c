package wharfhinge.worker.image;

/** A function can't be had now; the message says why, for logs. */
public final class LoadFailedException extends Exception {
    private static final long serialVersionUID = 1;

    /** With what is known of the cause. */
    public LoadFailedException(String message, Throwable cause) {
        super(message, cause);
    }
}
