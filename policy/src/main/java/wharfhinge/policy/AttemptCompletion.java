package wharfhinge.policy;

import java.util.Map;

/**
 * How one attempt ended.
 *
 * @param request            id of the request
 * @param attempt            index of the attempt among the request's attempts, from 0
 * @param tookNanos          time from the send to the end of the attempt
 * @param worker             id of the worker
 * @param concurrentOnWorker other requests of the function that the attempt found on the worker; 0 if not reported
 * @param answered           whether the request has its final response
 * @param report             load report of the worker: metric values by name; empty if there is none
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
