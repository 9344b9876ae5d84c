package wharfhinge.policy;

/** What a dispatcher may do; every call takes effect at the time of the event being handled. */
public interface DispatcherActions {
    /** Sends the request to the worker; a time-out of 0 means the client's deadline. */
    void sendAttempt(String request, String worker, long timeoutNanos);

    /** Stops waiting for one attempt. */
    void cancelAttempt(String request, int attempt);

    /** Final answer: rejected, a retry is harmless; a Retry-After of 0 is not passed on. */
    void reject(String request, long retryAfterNanos);

    /** Final answer: failed, it may have run. */
    void fail(String request);

    /** Orders a worker to have at least {@code count} copies loaded; 0 only queries how many it has. */
    void ensureLoaded(String worker, String function, int count);

    /** Orders a worker to unload the function's idle copies. */
    void unload(String worker, String function);

    /** Probes a worker. */
    void probe(String worker);

    /** Schedules {@link Dispatcher#onTimer} after a delay. */
    void scheduleTimer(String token, long delayNanos);

    /** Sends a message to a peer, or to all peers with -1. */
    void sendToPeers(int peer, byte[] payload);

    /** Starts or stops a watch of the endpoint list. */
    void watchEndpoints(boolean on);

    /** Requests the full endpoint list once. */
    void refreshEndpoints();

    /** Closes idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Logs a line for operators. */
    void logDiagnostic(String text);
}
