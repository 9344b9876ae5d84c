package wharfhinge.policy;

/** A client's request; absent numbers are 0, an absent tenant is null. */
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
