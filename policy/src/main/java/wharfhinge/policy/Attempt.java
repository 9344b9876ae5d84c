package wharfhinge.policy;

/**
 * One send of a request to a worker.
 *
 * @param state         the request
 * @param worker        where it was sent
 * @param index         its number among the request's attempts, from 0
 * @param sentAt        when it was sent
 * @param patienceNanos how long it may take before the worker is suspected to hang
 * @param mayLoad       whether the worker was expected to load the function for it
 */
record Attempt(RequestState state, WorkerState worker, int index, long sentAt, long patienceNanos, boolean mayLoad) {}
