package wharfhinge.policy;

import java.util.List;

/** How workers load functions, and how long they keep idle ones. */
public record FunctionLoading(
        long idleRetentionNanos,
        boolean loadOrdersAllowed,
        OnMissBehavior onMiss,
        long loadTimeoutNanos,
        long loadQuotaPeriodNanos,
        double loadQuotaPerRequest,
        double loadQuotaBase,
        double idlePrice,
        List<Double> memoryMbByKind,
        String reportX0,
        String reportX1,
        boolean reportsConcurrency,
        boolean reportsCacheStatus) {}
