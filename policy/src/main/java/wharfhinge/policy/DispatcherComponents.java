package wharfhinge.policy;

/**
 * The classes of one dispatcher that each own one part of its state, created in the order of their dependencies: each
 * knows only those above it. {@link RequestRouter} and the event handlers, which coordinate them, take what they need
 * from here.
 */
final class DispatcherComponents {
    final DispatcherContext context;
    final LoadReportTracker loadReports;
    final ConcurrencyLimiter limiter;
    final WorkerRegistry registry;
    final LoadQueries queries;
    final EndpointLeases leases;
    final FunctionCacheIndex cache;
    final PreferredWorkers preferred;
    final FunctionTraffic traffic;
    final FunctionAssignment assignment;
    final SlowStartBudget slowStart;
    final OutlierDetector outliers;
    final IdempotencyGuard idempotency;
    final RetryBudget retryBudget;
    final EligibilityFilter eligibility;
    final LoadScheduler loads;
    final WorkerRanker ranker;
    final AdmissionController admission;
    final PendingReplies replies;
    final ProbeCoordinator probes;
    final ResidencyQueries residency;
    final RequestQueue queue;
    final LeaseRenewal leaseRenewal;
    final AttemptTracker attempts;

    DispatcherComponents(DispatcherContext context) {
        this.context = context;
        loadReports = new LoadReportTracker(context);
        limiter = new ConcurrencyLimiter(context, loadReports);
        registry = new WorkerRegistry(context, limiter.initialLimit());
        queries = new LoadQueries(context);
        leases = new EndpointLeases(context, registry, queries);
        cache = new FunctionCacheIndex(context);
        preferred = new PreferredWorkers(registry);
        traffic = new FunctionTraffic(context);
        assignment = new FunctionAssignment(context, registry, preferred, cache, traffic);
        slowStart = new SlowStartBudget(context, registry);
        outliers = new OutlierDetector(context, registry, limiter, slowStart, traffic);
        idempotency = new IdempotencyGuard(context);
        retryBudget = new RetryBudget();
        eligibility = new EligibilityFilter(registry, leases, assignment, idempotency, slowStart, outliers);
        loads = new LoadScheduler(context, leases);
        ranker = new WorkerRanker(
                context, registry, eligibility, cache, preferred, assignment, limiter, loadReports, loads);
        admission = new AdmissionController(context, registry, eligibility, limiter);
        replies = new PendingReplies(context);
        probes = new ProbeCoordinator(context, eligibility, ranker, loadReports, admission, replies);
        residency = new ResidencyQueries(
                context, cache, traffic, assignment, preferred, eligibility, ranker, replies, queries);
        queue = new RequestQueue(context, loads);
        leaseRenewal = new LeaseRenewal(leases, replies, queue);
        attempts = new AttemptTracker(context, cache, loads, outliers, slowStart, idempotency, retryBudget);
    }
}
