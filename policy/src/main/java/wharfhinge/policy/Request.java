package wharfhinge.policy;

/**
 * A client's request; absent numbers are 0, an absent tenant is null.
 *
 * @param remainingNanos     time from its arrival to the client's deadline
 * @param memoryMb           memory of a copy of the function
 * @param costNanos          expected work in nanoseconds on a standard core
 * @param concurrencyPerCopy slots of a copy: the number of requests that it executes concurrently
 * @param loadMillis         typical time of a load of the function
 * @param requestClass       name of the request's class
 * @param retry              whether the client retries an earlier request of its own
 * @param write              whether the request writes data
 */
public record Request(
        String id,
        String tenant,
        long remainingNanos,
        double memoryMb,
        String function,
        long costNanos,
        int concurrencyPerCopy,
        double loadMillis,
        String requestClass,
        boolean retry,
        boolean write) {}
