package wharfhinge.policy;

import java.util.List;

/**
 * How workers load functions, and how long they keep idle ones.
 *
 * @param loadOrdersAllowed    whether the dispatcher may order loads and query loaded copies
 * @param loadTimeoutNanos     time after which a load order without an answer has failed
 * @param loadQuotaPeriodNanos period that the load quota applies to; 0 for no quota
 * @param loadQuotaPerRequest  load orders allowed for each request that arrived in the period
 * @param loadQuotaBase        load orders allowed in a period in addition, whatever the requests
 * @param memoryMbByKind       memory of a worker, in the order of {@link DispatcherSettings#kinds}; 0 if not known
 * @param reportsConcurrency   whether responses say how many requests of the function were on the worker already
 * @param reportsCacheStatus   whether responses contain a {@link CacheStatus}
 */
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
