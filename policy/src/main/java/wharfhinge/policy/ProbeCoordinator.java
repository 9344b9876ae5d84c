package wharfhinge.policy;

import java.util.List;

/**
 * Probes the two highest-ranked workers before the first send of a request, unless they reported their load recently.
 *
 * <p>Departure from the source design: it acts where probes report load, the group of dispatchers is large and the fleet
 * is not overloaded. It guards against many dispatchers that send to the same busy worker, whatever keeps it busy. It
 * costs up to two probes for each request, and the reply timeout where a reply is late.
 */
final class ProbeCoordinator {
    /** Age up to which a load report makes a probe unnecessary. */
    private static final long FRESH_REPORT_NANOS = 300 * DispatcherContext.NANOS_PER_MILLI;

    /** Value of {@link DispatcherContext#smallGroupFactor} below which a group of dispatchers counts as large. */
    private static final double LARGE_GROUP_FACTOR = 0.5;

    private final DispatcherContext context;
    private final EligibilityFilter eligibility;
    private final WorkerRanker ranker;
    private final LoadReportTracker loadReports;
    private final AdmissionController admission;
    private final PendingReplies replies;
    private final boolean enabled;

    ProbeCoordinator(
            DispatcherContext context,
            EligibilityFilter eligibility,
            WorkerRanker ranker,
            LoadReportTracker loadReports,
            AdmissionController admission,
            PendingReplies replies) {
        this.context = context;
        this.eligibility = eligibility;
        this.ranker = ranker;
        this.loadReports = loadReports;
        this.admission = admission;
        this.replies = replies;
        LoadFeedback feedback = context.settings.feedback();
        this.enabled = isLargeGroup(context)
                && context.settings.limits().probes()
                && feedback != null
                && feedback.metricNames().contains(LoadReportTracker.IN_FLIGHT_METRIC);
    }

    static boolean isLargeGroup(DispatcherContext context) {
        return context.smallGroupFactor < LARGE_GROUP_FACTOR;
    }

    /**
     * Probes the chosen worker and the next in rank, unless their reports are recent. Returns whether the request has
     * to wait for replies.
     */
    boolean probeBeforeSend(RequestState state, WorkerState chosen) {
        if (!enabled || state.queried || admission.isOverloaded()) {
            return false;
        }
        state.queried = true;
        eligibility.exclude(chosen);
        List<WorkerState> targets =
                eligibility.eligibleCount() == 0 ? List.of(chosen) : List.of(chosen, ranker.rank(state));
        for (WorkerState target : targets) {
            if (target.reportedAt == 0 || context.now - target.reportedAt > FRESH_REPORT_NANOS) {
                probe(state, target);
            }
        }
        if (state.awaitedWorkers.isEmpty()) {
            return false;
        }
        replies.scheduleTimeout(state);
        return true;
    }

    private void probe(RequestState state, WorkerState target) {
        if (!replies.isAwaited(target)) {
            context.actions.probe(target.id);
        }
        state.awaitedWorkers.add(target);
        replies.add(state);
    }

    /** Ends the request's wait for replies: workers that have not replied to their probes count as busy. */
    void onWaitEnded(RequestState state) {
        if (enabled) {
            state.awaitedWorkers.forEach(loadReports::assumeSaturated);
        }
    }
}
