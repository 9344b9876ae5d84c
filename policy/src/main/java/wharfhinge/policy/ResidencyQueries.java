package wharfhinge.policy;

/**
 * Asks a function's preferred workers whether they have a copy (a load order of none) before a first send.
 *
 * <p>Departure from the source design: it acts in small groups whose workers load on demand, for a function that is
 * believed to be loaded nowhere. It guards a dispatcher that was restarted, or whose endpoint list changed, against
 * loads beside copies that are there. It costs messages, and the reply timeout where a worker is silent and none that
 * answers has a copy.
 */
final class ResidencyQueries {
    private static final int MAX_WORKERS_ASKED = 5;

    /** How long an answer that there is no copy holds. */
    private static final long ABSENT_NANOS = FunctionCacheIndex.DEFAULT_LOAD_NANOS;

    private final DispatcherContext context;
    private final FunctionCacheIndex cache;
    private final FunctionTraffic traffic;
    private final FunctionAssignment assignment;
    private final PreferredWorkers preferred;
    private final EligibilityFilter eligibility;
    private final WorkerRanker ranker;
    private final PendingReplies replies;
    private final LoadQueries queries;
    private final boolean enabled;

    ResidencyQueries(
            DispatcherContext context,
            FunctionCacheIndex cache,
            FunctionTraffic traffic,
            FunctionAssignment assignment,
            PreferredWorkers preferred,
            EligibilityFilter eligibility,
            WorkerRanker ranker,
            PendingReplies replies,
            LoadQueries queries) {
        this.context = context;
        this.cache = cache;
        this.traffic = traffic;
        this.assignment = assignment;
        this.preferred = preferred;
        this.eligibility = eligibility;
        this.ranker = ranker;
        this.replies = replies;
        this.queries = queries;
        this.enabled = !ProbeCoordinator.isLargeGroup(context)
                && context.settings.functionLoading().loadOrdersAllowed()
                && !context.loadsOnlyByOrder;
    }

    /** Whether workers should be asked before the request, which was ranked just now, is sent. */
    boolean isNeeded(RequestState state) {
        if (!enabled || state.queried) {
            return false;
        }
        FunctionStats function = traffic.find(state.function());
        return function != null
                && context.now - function.reportedAbsentAt > ABSENT_NANOS
                && !ranker.isLoadedOnCandidate(state.function());
    }

    /** Asks the function's most preferred workers, each of them once at a time. */
    void send(RequestState state) {
        state.queried = replies.add(state);
        String function = state.function();
        for (WorkerState worker : preferred.head(function, state.functionHash, MAX_WORKERS_ASKED)) {
            if (eligibility.isEligible(worker)
                    && state.awaitedWorkers.size() < MAX_WORKERS_ASKED
                    && state.awaitedWorkers.add(worker)) {
                queries.send(worker, function, state.request, false);
            }
        }
        replies.scheduleTimeout(state);
    }

    /** Learns whether the worker has a copy. Where memory is short, one that isn't assigned there is left to expire. */
    void onAnswer(WorkerState worker, Request request, boolean loaded) {
        FunctionStats function = traffic.find(request.function());
        if (!loaded && function != null) {
            function.reportedAbsentAt = context.now;
        }
        if (loaded
                && worker.up
                && !cache.isCached(worker, request.function())
                && (assignment.hasMemoryFor(worker, request.memoryMb())
                        || assignment.belongsOn(worker, request.function()))) {
            cache.recordReportedCopy(worker, request);
        }
    }

    /** Takes note of an answer for one waiting request; whether it need wait no longer. */
    boolean completesWait(RequestState state, WorkerState worker, String function, boolean loaded) {
        return state.function().equals(function)
                && state.awaitedWorkers.remove(worker)
                && (loaded || state.awaitedWorkers.isEmpty());
    }
}
