package wharfhinge.client;

/** Receives a streamed answer. The methods run on the client's thread, which all calls share, and must not block. */
public interface ResponsePartListener {
    /** The answer starts; from here on there is no deadline and no retry. */
    void onStarted(String worker, String contentType);

    /**
     * Receives the next part. Nothing more is read until {@code more} is run, on any thread, so that a slow reader slows the worker
     * down through flow control instead of filling buffers on the way.
     */
    void onPart(byte[] bytes, Runnable more);
}
