package wharfhinge.policy;

/**
 * Asks a function's preferred workers whether they have a copy, by load orders with a count of 0, before the first send
 * of a request.
 *
 * <p>Departure from the source design: it acts in small groups of dispatchers, where workers load on demand and load
 * orders are allowed, for a function that no eligible worker is believed to have loaded. It guards a dispatcher that
 * was restarted, or whose endpoint list changed, against loading functions that already have a copy. It costs messages,
 * and the reply timeout where a worker does not answer and none that answers has a copy. It does not act while too many
 * queries are unanswered, as when clients call ever new functions faster than workers answer; a function that does have
 * a copy may then be loaded again.
 */
final class ResidencyQueries {
    private static final int MAX_WORKERS_QUERIED = 5;

    /** The most preferred workers among which those to be queried are chosen; some may not be eligible. */
    private static final int MAX_WORKERS_CONSIDERED = 2 * MAX_WORKERS_QUERIED;

    /** How long after an answer that a worker has no copy no further queries for the function are sent. */
    private static final long ABSENCE_VALID_NANOS = FunctionCacheIndex.DEFAULT_LOAD_NANOS;

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

    /** Whether workers should be queried before the request is sent. The request must be the one ranked last. */
    boolean isNeeded(RequestState state) {
        if (!enabled || state.queried) {
            return false;
        }
        FunctionStats function = traffic.find(state.function());
        return function != null
                && context.now - function.reportedAbsentAt > ABSENCE_VALID_NANOS
                && queries.hasRoomFor(MAX_WORKERS_QUERIED)
                && !ranker.isLoadedOnCandidate(state.function());
    }

    /**
     * Queries those of the function's most preferred workers that are eligible, except where a query of the function is in
     * flight already, and makes the request wait for the answers.
     */
    void send(RequestState state) {
        state.queried = replies.add(state);
        String function = state.function();
        WorkerState[] considered = preferred.head(function, state.functionHash, MAX_WORKERS_CONSIDERED);
        for (int i = 0; i < Math.min(MAX_WORKERS_CONSIDERED, considered.length); i++) {
            WorkerState worker = considered[i];
            if (eligibility.isEligible(worker)
                    && state.awaitedWorkers.size() < MAX_WORKERS_QUERIED
                    && state.awaitedWorkers.add(worker)) {
                queries.send(worker, function, state.request, false);
            }
        }
        replies.scheduleTimeout(state);
    }

    /**
     * Records whether the worker has a copy. Where memory is short, a copy that does not belong on the worker is not
     * recorded, so that it is left to expire.
     */
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

    /**
     * Records an answer for one waiting request. Returns whether its wait is over: the worker has a copy, or was the last
     * one awaited.
     */
    boolean completesWait(RequestState state, WorkerState worker, String function, boolean loaded) {
        return state.function().equals(function)
                && state.awaitedWorkers.remove(worker)
                && (loaded || state.awaitedWorkers.isEmpty());
    }
}
