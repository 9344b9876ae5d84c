package wharfhinge.policy;

import java.util.Map;

/**
 * How one attempt ended; {@code concurrentOnWorker} counts the requests of the function that it found on the worker.
 */
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
