package wharfhinge.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The recently requested functions, and each one's share of this dispatcher's requests. */
final class FunctionTraffic {
    /** Requests added to the total, so that the first few requests give no function a large share. */
    private static final double PRIOR_REQUESTS = 10;

    /** Decayed request count below which a function is removed. */
    private static final double REMOVE_BELOW_COUNT = 0.05;

    private final DispatcherContext context;
    private final Map<String, FunctionStats> byFunction = new LinkedHashMap<>();
    private final DecayingCounter allRequests = new DecayingCounter(FunctionStats.SHARE_WINDOW_NANOS);

    FunctionTraffic(DispatcherContext context) {
        this.context = context;
    }

    /** The function's statistics, or null if it was not requested recently. */
    FunctionStats find(String function) {
        return byFunction.get(function);
    }

    FunctionStats add(Request request) {
        FunctionStats stats = new FunctionStats(request);
        byFunction.put(stats.function, stats);
        return stats;
    }

    /** Counts one request and returns the share of all requests that the function had before it. */
    double countRequest(FunctionStats stats) {
        double share = stats.valueAt(context.now) / (allRequests.valueAt(context.now) + PRIOR_REQUESTS);
        stats.add(1, context.now);
        allRequests.add(1, context.now);
        return share;
    }

    Collection<FunctionStats> all() {
        return byFunction.values();
    }

    Set<String> functions() {
        return byFunction.keySet();
    }

    /**
     * Removes functions that are hardly requested any more, passing each to {@code onRemoved}; one for which that returns
     * false stays. Returns whether any was removed.
     */
    boolean removeIdle(Predicate<FunctionStats> onRemoved) {
        return byFunction
                .values()
                .removeIf(stats -> stats.valueAt(context.now) < REMOVE_BELOW_COUNT && onRemoved.test(stats));
    }
}
