/**
 * Dispatching decisions for functions on a shared fleet of workers: which worker a request is sent to, when it is sent
 * again, when it is rejected and when a function is loaded. The module depends on the JDK only.
 *
 * <p><b>Interface.</b> {@link wharfhinge.policy.Dispatcher} receives events, {@link
 * wharfhinge.policy.DispatcherActions} carries out the decisions, and {@link wharfhinge.policy.DispatcherSettings}
 * configures a dispatcher at its start. A dispatcher is used by one thread at a time and has no clock, I/O or threads of
 * its own. The same events and seed give the same actions, so that captures can be replayed.
 *
 * <p><b>Path of a request</b> through {@link wharfhinge.policy.CacheAwareDispatcher}:
 *
 * <ol>
 *   <li>{@code AdmissionController} sheds a part of the requests under overload.
 *   <li>{@code EligibilityFilter} excludes the workers that must not get the request: {@code IdempotencyGuard} decides
 *       on repeated sends, {@code SlowStartBudget} on workers that are warming up, {@code OutlierDetector} on ejected
 *       workers, {@code EndpointLeases} on workers that may be draining while the endpoint list is stale ({@code
 *       LeaseRenewal} queries those).
 *   <li>{@code WorkerRanker} selects a worker: one that has the function loaded ({@code FunctionCacheIndex}) and is below
 *       its limit ({@code ConcurrencyLimiter}, {@code LoadReportTracker}), otherwise the one that the function is
 *       assigned to ({@code FunctionAssignment}, {@code PreferredWorkers}).
 *   <li>{@code ResidencyQueries} or {@code ProbeCoordinator} may ask workers first; {@code PendingReplies} holds the
 *       requests that wait for the replies. {@code RequestQueue} holds the requests that wait for a worker, a slot or a
 *       load.
 *   <li>{@code AttemptTracker} sends the request. When the attempt ends, {@code AttemptCompletionHandler} passes its
 *       outcome to the classes above. {@code RetryBudget} limits retries and hedged requests.
 *   <li>{@code LoadScheduler} orders loads and limits the number of loads in flight.
 * </ol>
 *
 * <p><b>State.</b> {@code WorkerRegistry} owns the {@code WorkerState}s, {@code FunctionCacheIndex} the {@code
 * CachedFunction}s, {@code FunctionTraffic} the {@code FunctionStats}, {@code RequestRouter} the {@code RequestState}s
 * with their {@code Attempt}s. {@code DispatcherContext} holds the time of the event being handled and the random source.
 *
 * <p>Where a decision departs from the source design ({@code docs/design.md}), a comment at the code begins with
 * "Departure". It states when the departure acts, what it guards against and when it may hurt.
 */
package wharfhinge.policy;
