package wharfhinge.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Ranks the eligible workers for a request in the order of the source design: first those believed to have the function
 * loaded that are below their limit and have a free slot; then the first preferred worker below its limit; then those
 * with the fewest requests in flight.
 */
final class WorkerRanker {
    /** Preferred workers computed in addition to twice those needed, since some may not be eligible. */
    private static final int EXTRA_PREFERRED = 16;

    /** Preferred workers used for each worker that the function's share of requests would fill. */
    private static final double PREFERRED_PER_FILLED_WORKER = 5;

    /**
     * Requests of this dispatcher that may share a slot of a copy where workers do not load another copy by themselves.
     */
    private static final int REQUESTS_PER_SLOT_BY_ORDER = 2;

    private final DispatcherContext context;
    private final WorkerRegistry registry;
    private final EligibilityFilter eligibility;
    private final FunctionCacheIndex cache;
    private final PreferredWorkers preferred;
    private final FunctionAssignment assignment;
    private final ConcurrencyLimiter limiter;
    private final LoadReportTracker loadReports;
    private final LoadScheduler loads;

    /**
     * Eligible workers with a cache entry for the function of the last ranking, in the order in which they were first
     * listed.
     */
    private final List<WorkerState> candidates = new ArrayList<>();

    private final List<WorkerState> preferredCandidates = new ArrayList<>();
    /** Number of the last ranking, by which {@link WorkerState#preferredInRanking} marks workers. */
    private long ranking;

    WorkerRanker(
            DispatcherContext context,
            WorkerRegistry registry,
            EligibilityFilter eligibility,
            FunctionCacheIndex cache,
            PreferredWorkers preferred,
            FunctionAssignment assignment,
            ConcurrencyLimiter limiter,
            LoadReportTracker loadReports,
            LoadScheduler loads) {
        this.context = context;
        this.registry = registry;
        this.eligibility = eligibility;
        this.cache = cache;
        this.preferred = preferred;
        this.assignment = assignment;
        this.limiter = limiter;
        this.loadReports = loadReports;
        this.loads = loads;
    }

    /**
     * The worker to send the request to, or null if none is eligible. Where functions are loaded by order only, this may
     * order a further copy.
     */
    WorkerState rank(RequestState state) {
        String function = state.function();
        ranking++;
        collectCandidates(function);
        WorkerState available = availableCopy(state);
        if (available != null && !shouldOrderFurtherCopy(available)) {
            return available;
        }
        if (!context.loadsOnlyByOrder) {
            // Prefers a worker on which a load is already ordered: any other worker would load a second copy.
            WorkerState loading = fewestInFlight(
                    candidates, function, worker -> cache.isLoading(worker, function) && isBelowLimit(worker));
            if (loading != null) {
                return loading;
            }
        }
        WorkerState assigned = assignment.assignedWorker(function);
        WorkerState target = loadTarget(state, assigned);
        WorkerState copy = copyAtLimit(state, target);
        return copy != null ? copy : fallbackWorker(state, assigned, target);
    }

    private void collectCandidates(String function) {
        candidates.clear();
        candidates.addAll(cache.workersWith(function));
        candidates.removeIf(worker -> !eligibility.isEligible(worker));
    }

    /**
     * The best worker that has the function loaded, or counts as having it, and can take one more request of it; or
     * null.
     */
    private WorkerState availableCopy(RequestState state) {
        String function = state.function();
        int preferredCount = preferredCount(state);
        List<WorkerState> among = preferredCount == 0 ? candidates : candidatesAndPreferred(state, preferredCount);
        return fewestInFlight(
                among,
                function,
                worker -> (worker.preferredInRanking == ranking || cache.isLoaded(worker, function))
                        && isBelowLimit(worker)
                        && hasFreeSlot(worker, state.request));
    }

    /**
     * Whether to order a further copy although one is available.
     *
     * <p>Departure from the source design: it acts where functions are loaded by order only, no load is in flight or
     * pending, and the available worker is busy, with an estimated load of more than one request in flight per unit of
     * capacity. It guards against hot functions that overload the workers that have them. At worst a load is wasted.
     */
    private boolean shouldOrderFurtherCopy(WorkerState available) {
        return context.loadsOnlyByOrder && loads.isIdle() && isBusy(available) && loadReports.load(available) > 1;
    }

    /**
     * The worker to load a further copy on: the assigned worker, else the first preferred one that has memory for it.
     */
    private WorkerState loadTarget(RequestState state, WorkerState assigned) {
        String function = state.function();
        if (assigned != null && lacksCopy(assigned, function)) {
            return assigned;
        }
        if (!assignment.fitsAnywhere(state.request.memoryMb())) {
            return null;
        }
        return preferred.first(
                function,
                state.functionHash,
                worker -> lacksCopy(worker, function) && assignment.hasMemoryFor(worker, state.request.memoryMb()));
    }

    /** Whether the worker may take the request but does not have the function. */
    private boolean lacksCopy(WorkerState worker, String function) {
        return eligibility.isEligible(worker) && !cache.isCached(worker, function) && isBelowLimit(worker);
    }

    /**
     * The best worker with a copy, whether or not it has a free slot, where no load may be started on demand; otherwise
     * null.
     *
     * <p>Departure from the source design: it acts where functions are loaded by order only, and at the limit of loads
     * in flight. A request that finds no free slot then stays with a copy. It guards against waiting for a whole load
     * and against load storms. It may hurt where the copies are slow.
     */
    private WorkerState copyAtLimit(RequestState state, WorkerState target) {
        String function = state.function();
        if (context.loadsOnlyByOrder) {
            return copyAndOrderFurther(state, target);
        }
        return loads.isAtLimit()
                ? fewestInFlight(
                        candidates, function, worker -> cache.isCached(worker, function) && isBelowLimit(worker))
                : null;
    }

    /**
     * The best worker that has the function loaded and is below its limit. A further copy is then ordered on the target,
     * unless there is no target or a copy is loading already. If no copy is loaded, the result is a worker that is loading
     * one, or null; it is null too if copies are loaded but their workers are all at their limits.
     */
    private WorkerState copyAndOrderFurther(RequestState state, WorkerState target) {
        String function = state.function();
        WorkerState copy = fewestInFlight(
                candidates, function, worker -> cache.isLoaded(worker, function) && isBelowLimit(worker));
        if (copy != null
                && target != null
                && candidates.stream().noneMatch(worker -> cache.isLoading(worker, function))) {
            loads.order(cache.recordUse(target, state.request));
        }
        if (copy != null || isLoadedOnCandidate(function)) {
            return copy;
        }
        return fewestInFlight(candidates, function, worker -> cache.isLoading(worker, function));
    }

    /**
     * The worker to use where no copy is available: the load target, else a worker at its limit that has the function
     * loaded, else the assigned worker, else the first preferred one that is below its limit, else any.
     */
    private WorkerState fallbackWorker(RequestState state, WorkerState assigned, WorkerState target) {
        if (target != null) {
            return target;
        }
        String function = state.function();
        WorkerState saturated = fewestInFlight(candidates, function, worker -> cache.isLoaded(worker, function));
        if (saturated != null) {
            return saturated;
        }
        if (assigned != null && eligibility.isEligible(assigned)) {
            return assigned;
        }
        WorkerState first = preferred.first(function, state.functionHash, worker -> lacksCopy(worker, function));
        return first != null ? first : fewestInFlight(registry.active(), function, worker -> true);
    }

    /** Whether a candidate of the last ranking is believed to have the function loaded. */
    boolean isLoadedOnCandidate(String function) {
        return candidates.stream().anyMatch(worker -> cache.isLoaded(worker, function));
    }

    /** Whether one more request of the function would neither wait for a slot nor make the worker load another copy. */
    boolean hasFreeSlot(WorkerState worker, Request request) {
        CachedFunction cached = worker.cachedFunctions.get(request.function());
        int perSlot = context.loadsOnlyByOrder ? REQUESTS_PER_SLOT_BY_ORDER : 1;
        return cached == null || cached.inFlight < perSlot * Math.max(1, request.concurrencyPerCopy());
    }

    /**
     * How many preferred workers count as having the function; 0 where the departure does not act.
     *
     * <p>Departure from the source design: a function with a share of all requests gets that share of the eligible
     * workers, multiplied by {@link #PREFERRED_PER_FILLED_WORKER} and by the share of sends that peers make. It acts
     * where this gives two workers or more, and workers load on demand. It guards against dispatchers that all fill one
     * worker. It may hurt where the share is overestimated, which wastes memory.
     */
    private int preferredCount(RequestState state) {
        double share = Math.min(1, PREFERRED_PER_FILLED_WORKER * context.peerTrafficShare * state.trafficShare);
        int count = (int) (share * eligibility.eligibleCount());
        return context.loadsOnlyByOrder || count < 2 ? 0 : count;
    }

    /** The given number of eligible preferred workers, and the candidates, in the order in which they were first listed. */
    private List<WorkerState> candidatesAndPreferred(RequestState state, int count) {
        preferredCandidates.clear();
        for (int head = EXTRA_PREFERRED + 2 * count; preferredCandidates.size() < count; head *= 2) {
            for (WorkerState worker : preferred.head(state.function(), state.functionHash, head)) {
                if (preferredCandidates.size() < count
                        && worker.preferredInRanking != ranking
                        && eligibility.isEligible(worker)) {
                    worker.preferredInRanking = ranking;
                    preferredCandidates.add(worker);
                }
            }
        }
        for (WorkerState worker : candidates) {
            if (worker.preferredInRanking != ranking) {
                preferredCandidates.add(worker);
            }
        }
        preferredCandidates.sort(WorkerState.BY_ORDINAL);
        return preferredCandidates;
    }

    private boolean isBelowLimit(WorkerState worker) {
        return limiter.isBelowLimit(worker, 1);
    }

    /**
     * The qualifying eligible worker with the fewest requests of this dispatcher in flight, or null. Workers that
     * compare equal are chosen from at random.
     */
    private WorkerState fewestInFlight(List<WorkerState> among, String function, Predicate<WorkerState> qualifies) {
        WorkerState best = null;
        int ties = 0;
        for (WorkerState worker : among) {
            if (!eligibility.isEligible(worker) || !qualifies.test(worker)) {
                continue;
            }
            int order = best == null ? -1 : compare(worker, best, function);
            if (order < 0) {
                ties = 1;
                best = worker;
            } else if (order == 0) {
                ties++;
                best = context.random.nextInt(ties) == 0 ? worker : best;
            }
        }
        return best;
    }

    /**
     * Compares workers by this dispatcher's requests in flight; the lesser one is preferred.
     *
     * <p>Departure from the source design: it acts among workers with equally many requests in flight, as most are
     * where there are many dispatchers. Busy workers come last; then, except in small groups, which see enough of the
     * traffic themselves, workers with the function come first; then the least reported load decides. It guards against
     * queues that peers caused and that own sends do not show. It may hurt where functions are slow by nature, or
     * reports lag.
     */
    private int compare(WorkerState first, WorkerState second, String function) {
        if (first.inFlight != second.inFlight) {
            return first.inFlight - second.inFlight;
        }
        int order = Boolean.compare(isBusy(first), isBusy(second));
        if (order == 0 && context.smallGroupFactor != 1) {
            order = Boolean.compare(cache.isLoaded(second, function), cache.isLoaded(first, function));
        }
        return order != 0 ? order : Double.compare(loadReports.load(first), loadReports.load(second));
    }

    /** Whether the worker is busy, judged by its reported load, or by its latency where it has reported none. */
    private boolean isBusy(WorkerState worker) {
        return worker.reportedAt > 0 ? loadReports.isBusy(worker) : limiter.isSlowerThanMean(worker);
    }
}
