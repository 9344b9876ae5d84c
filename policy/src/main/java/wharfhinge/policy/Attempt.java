package wharfhinge.policy;

/**
 * One send of a request to a worker.
 *
 * @param state             the request
 * @param worker            the worker that it was sent to
 * @param index             index among the request's attempts, from 0
 * @param sentAt            when it was sent, in nanoseconds of the caller's clock
 * @param overdueAfterNanos time without a response after which the attempt is overdue: its worker may hang
 * @param mayLoad           whether the worker may have to load the function for it: it loads on demand, and the function
 *                          was neither known to be loaded there nor in use by another attempt
 */
record Attempt(
        RequestState state, WorkerState worker, int index, long sentAt, long overdueAfterNanos, boolean mayLoad) {}
