package wharfhinge.client;

/** Receives a streamed answer on the client's own thread, which other calls share: no method may block. */
public interface ResponsePartListener {
    /** The answer started: from now on there is no deadline and no retry. */
    void onStarted(String worker, String contentType);

    /**
     * The next part. Until {@code more} is run, on any thread, nothing more is read: a slow reader holds the worker back through the
     * gateway instead of filling memory on the way.
     */
    void onPart(byte[] bytes, Runnable more);
}
