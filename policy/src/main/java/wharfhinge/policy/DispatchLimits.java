package wharfhinge.policy;

/** What a deployment allows a dispatcher to do, and how much of it. */
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
