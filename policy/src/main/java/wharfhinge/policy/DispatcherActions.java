package wharfhinge.policy;

/**
 * The actions that a dispatcher can take; its caller implements them. Each takes effect at the time of the event being
 * handled.
 */
public interface DispatcherActions {
    /**
     * Sends the request to the worker. The request's attempts are numbered from 0 in the order of these calls. An attempt
     * times out after {@code timeoutNanos}, and at the client's deadline at the latest; 0 sets the deadline alone.
     */
    void sendAttempt(String request, String worker, long timeoutNanos);

    /** Cancels the request's attempt of this number, unless its streamed response has started. */
    void cancelAttempt(String request, int attempt);

    /** Ends the request as rejected: a retry is harmless. A Retry-After of 0 is not passed on to the client. */
    void reject(String request, long retryAfterNanos);

    /** Ends the request as failed: it may have been executed. */
    void fail(String request);

    /** Orders a worker to have at least {@code count} copies of the function loaded; 0 only queries how many it has. */
    void ensureLoaded(String worker, String function, int count);

    /** Orders a worker to unload idle copies of the function. */
    void unload(String worker, String function);

    /** Probes a worker. */
    void probe(String worker);

    /** Schedules a call of {@link Dispatcher#onTimer} after a delay. */
    void scheduleTimer(String token, long delayNanos);

    /**
     * As {@link #scheduleTimer}, for a timer that concerns this request alone. It may be dropped once the request has its
     * final response and none of its attempts is in flight, since {@link Dispatcher#onTimer} ignores it from then on.
     */
    default void scheduleRequestTimer(String request, String token, long delayNanos) {
        scheduleTimer(token, delayNanos);
    }

    /** Sends a message to one peer dispatcher, or to all of them if {@code peer} is -1. */
    void sendToPeers(int peer, byte[] payload);

    /** Starts or stops watching the endpoint list. */
    void watchEndpoints(boolean on);

    /** Requests the full endpoint list once. */
    void refreshEndpoints();

    /** Closes the idle connections to a worker. */
    void closeIdleConnections(String worker);

    /** Logs a line for operators. */
    void logDiagnostic(String text);
}
