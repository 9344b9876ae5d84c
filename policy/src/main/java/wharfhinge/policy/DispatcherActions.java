package wharfhinge.policy;

/** What a dispatcher may do; every call takes effect at the time of the event being handled. */
public interface DispatcherActions {
    /** Sends the request to the worker; a time-out of 0 lasts until the client gives up. */
    void sendAttempt(String request, String worker, long timeoutNanos);

    /** Stops waiting for one attempt. */
    void cancelAttempt(String request, int attempt);

    /** Final answer: refused, a retry is harmless; 0 gives no advice how long to wait. */
    void reject(String request, long retryAfterNanos);

    /** Final answer: failed, it may have run. */
    void fail(String request);

    /** Orders a worker to hold at least {@code count} copies; 0 only asks. */
    void ensureLoaded(String worker, String function, int count);

    /** Has a function's idle copies unloaded. */
    void unload(String worker, String function);

    /** Probes a worker. */
    void probe(String worker);

    /** Asks for {@link #onTimer} after a delay. */
    void scheduleTimer(String token, long delayNanos);

    /** Sends bytes to a peer, or to all with -1. */
    void sendToPeers(int peer, byte[] payload);

    /** Subscribes to list changes or ends that. */
    void watchEndpoints(boolean on);

    /** Asks once for the whole list. */
    void refreshEndpoints();

    /** Gives back idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** A line for staff. */
    void logDiagnostic(String text);
}
