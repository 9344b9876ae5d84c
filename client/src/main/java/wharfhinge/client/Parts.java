package wharfhinge.client;

/** Told a streamed answer as it comes, on the client's own thread, which other calls share: nothing here may block. */
public interface Parts {
    /** The answer began: from now on the deadline does not run, and no further try is made. */
    void began(String worker, String contentType);

    /**
     * The next part. Until {@code more} is run, on any thread, nothing more is read: a slow reader holds the worker back through the
     * gateway instead of filling memory on the way.
     */
    void part(byte[] bytes, Runnable more);
}
