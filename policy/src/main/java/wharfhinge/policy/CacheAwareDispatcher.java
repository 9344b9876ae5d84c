package wharfhinge.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Dispatches requests for functions to the workers that are believed to have them loaded. This class receives the
 * events and passes each to the class that owns the state it concerns; {@link RequestRouter} routes the requests. The
 * package description gives an overview.
 *
 * <p>Used by one thread at a time. It has no clock, I/O or threads of its own; the same events and seed give the same
 * actions.
 */
public final class CacheAwareDispatcher implements Dispatcher {
    private static final long EXPIRY_INTERVAL_NANOS = 500 * DispatcherContext.NANOS_PER_MILLI;

    /**
     * How long before the client's deadline a request without a response is ended, in multiples of {@link
     * DispatcherSettings#tickNanos}.
     */
    private static final int DEADLINE_MARGIN_TICKS = 2;

    private final DispatcherContext context;
    private final DispatcherSettings settings;
    private final DispatcherActions actions;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, ServiceTimeEstimate> serviceTimes = new HashMap<>();

    private final LoadReportTracker loadReports;
    private final ConcurrencyLimiter limiter;
    private final WorkerRegistry registry;
    private final EndpointLeases leases;
    private final FunctionCacheIndex cache;
    private final PreferredWorkers preferred;
    private final FunctionAssignment assignment;
    private final OutlierDetector outliers;
    private final RetryBudget retryBudget;
    private final EligibilityFilter eligibility;
    private final LoadScheduler loads;
    private final AdmissionController admission;
    private final PendingReplies replies;
    private final LoadQueries queries;
    private final RequestQueue queue;
    private final RequestRouter router;
    private final AttemptCompletionHandler completionHandler;
    private final OverdueAttemptHandler overdueAttemptHandler;
    private final LoadCompletionHandler loadCompletionHandler;

    /**
     * Creates a dispatcher that knows no workers yet.
     *
     * @param now  current time of the caller's clock, nanoseconds
     * @param seed seed of the random source
     */
    public CacheAwareDispatcher(long now, long seed, DispatcherSettings settings, DispatcherActions actions) {
        requireComplete(settings);
        this.settings = settings;
        this.actions = actions;
        context = new DispatcherContext(now, seed, settings, actions);
        DispatcherComponents components = new DispatcherComponents(context);
        loadReports = components.loadReports;
        limiter = components.limiter;
        registry = components.registry;
        leases = components.leases;
        cache = components.cache;
        preferred = components.preferred;
        assignment = components.assignment;
        outliers = components.outliers;
        retryBudget = components.retryBudget;
        eligibility = components.eligibility;
        loads = components.loads;
        admission = components.admission;
        replies = components.replies;
        queries = components.queries;
        queue = components.queue;
        router = new RequestRouter(components);
        completionHandler = new AttemptCompletionHandler(components, router);
        overdueAttemptHandler = new OverdueAttemptHandler(components, router);
        loadCompletionHandler = new LoadCompletionHandler(components, router);
        start();
    }

    private static void requireComplete(DispatcherSettings settings) {
        if (settings == null
                || settings.classes() == null
                || settings.classes().isEmpty()
                || settings.functionLoading() == null
                || settings.limits() == null
                || settings.protectionRules() == null) {
            throw new IllegalArgumentException("incomplete settings: classes, functionLoading (family_info), limits and"
                    + " protectionRules (obligations) are required");
        }
    }

    private void start() {
        for (RequestClass requestClass : settings.classes()) {
            classes.put(requestClass.name(), requestClass);
            serviceTimes.put(requestClass.name(), new ServiceTimeEstimate(requestClass.latencyObjectiveNanos()));
        }
        if (settings.discovery() == Discovery.ON_REQUEST) {
            actions.watchEndpoints(true);
        }
        actions.scheduleTimer(TimerTokens.EXPIRY, EXPIRY_INTERVAL_NANOS);
    }

    // ---- Arrival of a request ----

    @Override
    public void onRequest(long now, Request request) {
        context.now = now;
        RequestClass requestClass = classes.get(request.requestClass());
        if (requestClass == null) {
            throw new IllegalArgumentException("unknown class " + request.requestClass());
        }
        RequestState state = newState(request, requestClass, assignment.onRequest(request));
        router.add(state);
        retryBudget.onRequest();
        outliers.onRequest();
        loads.onRequest();
        long marginNanos = DEADLINE_MARGIN_TICKS * settings.tickNanos();
        actions.scheduleRequestTimer(
                request.id(),
                TimerTokens.DEADLINE_PREFIX + request.id(),
                Math.max(0, request.remainingNanos() - marginNanos));
        state.shed = admission.shouldShed();
        router.route(state);
    }

    private RequestState newState(Request request, RequestClass requestClass, double trafficShare) {
        ServiceTimeEstimate serviceTime = serviceTimes.get(requestClass.name());
        return new RequestState(request, requestClass, serviceTime, context.now, trafficShare);
    }

    // ---- Probe replies ----

    @Override
    public void onProbeCompleted(
            long now, String workerId, Outcome outcome, long tookNanos, Map<String, Double> report) {
        context.now = now;
        WorkerState worker = registry.find(workerId);
        if (worker == null) {
            return;
        }
        loadReports.onReport(worker, report);
        for (RequestState state : replies.snapshot()) {
            if (state.awaitedWorkers.remove(worker) && state.awaitedWorkers.isEmpty()) {
                router.endWaitForReplies(state);
            }
        }
    }

    // ---- Progress and end of an attempt ----

    @Override
    public void onStreamStarted(long now, String requestId, int attemptIndex, String workerId) {
        context.now = now;
        RequestState state = router.find(requestId);
        if (state != null) {
            state.streaming = true;
        }
    }

    @Override
    public void onAttemptCompleted(long now, AttemptCompletion completion) {
        context.now = now;
        RequestState state = router.find(completion.request());
        Attempt attempt = AttemptTracker.find(state, completion.attempt());
        if (attempt != null) {
            completionHandler.onCompleted(attempt, completion);
        }
    }

    // ---- Cancellation ----

    @Override
    public void onClientCancelled(long now, String requestId) {
        context.now = now;
        RequestState state = router.find(requestId);
        if (state != null) {
            router.finish(state);
        }
    }

    // ---- Timers ----

    @Override
    public void onTimer(long now, String token) {
        context.now = now;
        if (token.equals(TimerTokens.MAINTENANCE)) {
            queue.onMaintenanceTick();
            runMaintenance();
        } else if (token.equals(TimerTokens.EXPIRY)) {
            expire();
            runMaintenance();
        } else {
            onRequestTimer(token, router.find(TimerTokens.requestId(token)));
        }
    }

    private void onRequestTimer(String token, RequestState state) {
        if (state == null) {
            return;
        }
        if (token.startsWith(TimerTokens.REPLY_TIMEOUT_PREFIX)) {
            router.endWaitForReplies(state);
        } else if (!token.startsWith(TimerTokens.DEADLINE_PREFIX)) {
            overdueAttemptHandler.onOverdueTimer(state, TimerTokens.attemptIndex(token));
        } else if (!state.finished && !state.streaming) {
            router.rejectOrFail(state);
        }
    }

    private void runMaintenance() {
        router.retryQueued();
        loads.sendPendingOrders();
        queue.scheduleMaintenance();
    }

    /** Removes state that has been idle for too long, and load orders that got no answer in time. */
    private void expire() {
        actions.scheduleTimer(TimerTokens.EXPIRY, EXPIRY_INTERVAL_NANOS);
        for (WorkerState worker : List.copyOf(registry.all())) {
            for (CachedFunction cached : List.copyOf(worker.cachedFunctions.values())) {
                if (loads.isOverdue(cached)) {
                    outliers.onLoadOverdue(cached);
                    router.drop(cached);
                } else {
                    cache.removeIfExpired(cached);
                }
            }
        }
        registry.removeDeparted();
        loads.removeOldTimes();
        cache.removeEmptyEntries();
        assignment.expire();
    }

    // ---- Endpoint list and workers ----

    @Override
    public void onEndpointUpdate(long now, EndpointUpdateMode mode, long revision, List<Endpoint> endpoints) {
        context.now = now;
        if (mode == EndpointUpdateMode.REJECTED) {
            actions.watchEndpoints(true);
            return;
        }
        endpoints.forEach(this::update);
        if (mode != EndpointUpdateMode.INCREMENTAL) {
            Set<String> listedIds = endpoints.stream().map(Endpoint::id).collect(Collectors.toSet());
            registry.missingFrom(listedIds).forEach(this::remove);
        }
        registry.recount();
        router.retryQueued();
    }

    @Override
    public void onEndpointsConfirmed(long now, long at) {
        context.now = now;
        leases.onConfirmed(at);
    }

    @Override
    public void onEndpointsUnconfirmed(long now) {
        context.now = now;
        leases.onUnconfirmed();
    }

    @Override
    public void onWorkerDisconnected(long now, String workerId) {
        context.now = now;
        WorkerState worker = registry.find(workerId);
        if (worker != null) {
            leases.onDisconnected(worker);
        }
    }

    @Override
    public SendCondition sendCondition(long now, String workerId, SendCondition.Purpose purpose) {
        WorkerState worker = registry.find(workerId);
        return worker == null ? SendCondition.NONE : leases.condition(worker, purpose);
    }

    private void update(Endpoint endpoint) {
        WorkerState previous = registry.find(endpoint.id());
        WorkerState current = registry.update(endpoint);
        if (previous != null && (previous != current || !current.up)) {
            remove(previous);
        }
    }

    /** Marks the worker as down, so that it gets no more requests, and drops its cache entries. */
    private void remove(WorkerState worker) {
        registry.markDown(worker);
        List.copyOf(worker.cachedFunctions.values()).forEach(router::drop);
    }

    @Override
    public List<WorkerSnapshot> workerStates(long now, String function) {
        context.now = now;
        return registry.all().stream()
                .map(worker -> new WorkerSnapshot(
                        worker.id,
                        worker.up,
                        worker.ejected,
                        registry.isWarmingUp(worker),
                        cache.isLoaded(worker, function),
                        cache.isLoading(worker, function),
                        limiter.isBelowLimit(worker, 1),
                        worker.inFlight,
                        worker.concurrencyLimit,
                        loadReports.load(worker),
                        worker.failureRate))
                .toList();
    }

    @Override
    public DispatcherStateSizes stateSizes() {
        return new DispatcherStateSizes(router.size(), assignment.functionCount(), cache.size(), queries.size());
    }

    // ---- Loads ----

    @Override
    public boolean isCached(long now, String function) {
        context.now = now;
        return cache.workersWith(function).stream().anyMatch(worker -> cache.isUsable(worker, function));
    }

    /**
     * Orders a load for a request that is expected soon.
     *
     * <p>Departure from the source design: it acts where load orders are allowed, none is pending, the limit of loads in
     * flight is not reached, and no eligible worker has a copy loaded, loading or ordered. It guards against requests
     * that spend a part of the time until their deadline on a load. It may hurt where the request does not come: the
     * load is wasted.
     */
    @Override
    public void onRequestExpected(long now, Request request) {
        context.now = now;
        RequestClass requestClass = classes.get(request.requestClass());
        if (requestClass == null || !loads.mayPrefetch()) {
            return;
        }
        RequestState state = newState(request, requestClass, 0);
        eligibility.select(state);
        String function = request.function();
        if (cache.workersWith(function).stream()
                .anyMatch(worker -> eligibility.isEligible(worker) && cache.isCached(worker, function))) {
            return;
        }
        WorkerState target = preferred.first(
                function,
                state.functionHash,
                worker -> eligibility.isEligible(worker) && limiter.isBelowLimit(worker, 1));
        if (target != null) {
            loads.order(cache.recordUse(target, request));
        }
    }

    @Override
    public void onLoadCompleted(
            long now, String workerId, String function, int count, Outcome outcome, long tookNanos) {
        context.now = now;
        loadCompletionHandler.onCompleted(workerId, function, count, outcome, tookNanos);
    }
}
