package wharfhinge.policy;

/** What the site allows a dispatcher to do, and how much. */
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
