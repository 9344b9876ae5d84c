package wharfhinge.policy;

/**
 * One send of a request to a worker.
 *
 * @param state             the request
 * @param worker            the worker that it was sent to
 * @param index             index among the request's attempts, from 0
 * @param sentAt            when it was sent
 * @param overdueAfterNanos time without a response after which the attempt is overdue: its worker may hang
 * @param mayLoad           whether the worker may have to load the function for it
 */
record Attempt(
        RequestState state, WorkerState worker, int index, long sentAt, long overdueAfterNanos, boolean mayLoad) {}
