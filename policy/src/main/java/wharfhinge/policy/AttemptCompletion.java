package wharfhinge.policy;

import java.util.Map;

/** How one attempt ended; {@code company} counts requests of the function found there. */
public record AttemptCompletion(
        String request,
        Outcome outcome,
        int attempt,
        long tookNanos,
        String worker,
        CacheStatus cacheStatus,
        int concurrentOnWorker,
        boolean answered,
        Map<String, Double> report) {}
