package wharfhinge.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The functions called recently and each one's share of this dispatcher's calls. */
final class FunctionTraffic {
    /** Calls of no function that are added to the total, so that the first few calls give no function a large share. */
    private static final double PRIOR_CALLS = 10;

    /** Decayed call count below which a function is forgotten. */
    private static final double FORGOTTEN_BELOW = 0.05;

    private final DispatcherContext context;
    private final Map<String, FunctionStats> byFunction = new LinkedHashMap<>();
    private final DecayingCounter allCalls = new DecayingCounter(FunctionStats.SHARE_WINDOW_NANOS);

    FunctionTraffic(DispatcherContext context) {
        this.context = context;
    }

    /** The function's statistics, or null if it wasn't called recently. */
    FunctionStats find(String function) {
        return byFunction.get(function);
    }

    FunctionStats add(Request request) {
        FunctionStats stats = new FunctionStats(request);
        byFunction.put(stats.function, stats);
        return stats;
    }

    /** Counts one call and returns the share of all calls that the function had before it. */
    double countCall(FunctionStats stats) {
        double share = stats.valueAt(context.now) / (allCalls.valueAt(context.now) + PRIOR_CALLS);
        stats.add(1, context.now);
        allCalls.add(1, context.now);
        return share;
    }

    Collection<FunctionStats> all() {
        return byFunction.values();
    }

    Set<String> functions() {
        return byFunction.keySet();
    }

    /** Forgets functions that are hardly called any more; each is given to {@code onRemoved}. Whether there were any. */
    boolean removeIdle(Predicate<FunctionStats> onRemoved) {
        return byFunction
                .values()
                .removeIf(stats -> stats.valueAt(context.now) < FORGOTTEN_BELOW && onRemoved.test(stats));
    }
}
