package wharfhinge.policy;

/**
 * What a deployment allows a dispatcher to do, and how much of it.
 *
 * @param cancellation         whether an attempt in flight may be cancelled
 * @param peerMessages         whether messages to the other dispatchers may be sent
 * @param probes               whether workers may be probed
 * @param hedging              whether a request may have more than one attempt in flight
 * @param retryAfter           whether a rejection may carry a Retry-After
 * @param maxAttempts          the most attempts of one request, the first one included
 * @param maxOpen              the most requests without a final response at a time; 0 for no limit
 * @param connectionIdleNanos  longest time that a connection to a worker stays open idle; 0 for no limit
 * @param streamsPerConnection the most requests in flight on one connection to a worker
 * @param cpuMicrosPerSecond   processor time that decisions may take per second; 0 for no limit; not enforced here
 * @param cpuMicrosPerRequest  processor time that decisions may take per request; 0 for no limit; not enforced here
 */
public record DispatchLimits(
        boolean cancellation,
        boolean peerMessages,
        boolean probes,
        boolean hedging,
        boolean retryAfter,
        int maxAttempts,
        int maxOpen,
        long maxRetryAfterNanos,
        long connectTimeoutNanos,
        long connectionIdleNanos,
        int streamsPerConnection,
        double cpuMicrosPerSecond,
        double cpuMicrosPerRequest) {}
