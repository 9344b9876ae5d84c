package wharfhinge.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The functions requested recently and each one's share of this dispatcher's requests. */
final class FunctionTraffic {
    /** Requests of no function that are added to the total, so that the first few give no function a large share. */
    private static final double PRIOR_REQUESTS = 10;

    /** Decayed request count below which a function is forgotten. */
    private static final double FORGOTTEN_BELOW = 0.05;

    private final DispatcherContext context;
    private final Map<String, FunctionStats> byFunction = new LinkedHashMap<>();
    private final DecayingCounter allRequests = new DecayingCounter(FunctionStats.SHARE_WINDOW_NANOS);

    FunctionTraffic(DispatcherContext context) {
        this.context = context;
    }

    /** The function's statistics, or null if it wasn't requested recently. */
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
     * Forgets functions that are hardly requested any more; each is given to {@code onRemoved}. Whether there were any.
     */
    boolean removeIdle(Predicate<FunctionStats> onRemoved) {
        return byFunction
                .values()
                .removeIf(stats -> stats.valueAt(context.now) < FORGOTTEN_BELOW && onRemoved.test(stats));
    }
}
