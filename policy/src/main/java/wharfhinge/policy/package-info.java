/**
 * The decisions of a dispatcher for functions on a shared fleet of workers: which worker gets a request, when it is
 * sent again, when it is rejected and when a function is loaded. It needs the JDK alone.
 *
 * <p><b>Border.</b> {@link wharfhinge.policy.Dispatcher} takes events, {@link wharfhinge.policy.DispatcherActions}
 * takes what it decides, {@link wharfhinge.policy.DispatcherSettings} is given at the start. A dispatcher is used by
 * one thread at a time and has no clock, I/O or threads; the same events and seed give the same actions, so that
 * captures replay.
 *
 * <p><b>The way of a request</b> through {@link wharfhinge.policy.CacheAwareDispatcher}:
 *
 * <ol>
 *   <li>{@code AdmissionController} sheds it under overload.
 *   <li>{@code EligibilityFilter} leaves out workers that may not get it: {@code IdempotencyGuard} for a repeat,
 *       {@code SlowStartBudget} for workers that are warming up, {@code OutlierDetector} for ejected ones, {@code
 *       EndpointLeases} for those that may drain while the endpoint list is stale ({@code LeaseRenewal} asks them).
 *   <li>{@code WorkerRanker} picks one: with the function loaded ({@code FunctionCacheIndex}) and below its limit
 *       ({@code ConcurrencyLimiter}, {@code LoadReportTracker}), else the one that the function is assigned to
 *       ({@code FunctionAssignment}, {@code PreferredWorkers}).
 *   <li>{@code ResidencyQueries} or {@code ProbeCoordinator} may ask workers first; {@code PendingReplies} has the
 *       requests that wait for them. {@code RequestQueue} has those that wait for a worker, a slot or a load.
 *   <li>{@code AttemptTracker} sends it. How the attempt ends teaches the collaborators; {@code RetryBudget} bounds
 *       retries and hedged requests.
 *   <li>{@code LoadScheduler} orders loads and limits how many are in flight.
 * </ol>
 *
 * <p><b>State.</b> {@code WorkerRegistry} owns the {@code WorkerState}s, {@code FunctionCacheIndex} the {@code
 * CachedFunction}s, {@code FunctionTraffic} the {@code FunctionStats}, {@code RequestRouter} the {@code RequestState}s
 * with their {@code Attempt}s. {@code DispatcherContext} has the time of the event being handled and the random source.
 *
 * <p>Where a decision departs from the source design ({@code docs/design.md}), a comment beginning "Departure" stands
 * at the code: when it acts, what it guards against, when it may hurt.
 */
package wharfhinge.policy;
