package wharfhinge.policy;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The recently requested functions, and each one's share of this dispatcher's requests. At most {@link #MAX_FUNCTIONS} are
 * kept: clients may request any number of functions, also such that no worker knows.
 */
final class FunctionTraffic {
    /** Requests added to the total, so that the first few requests give no function a large share. */
    private static final double PRIOR_REQUESTS = 10;

    /** Decayed request count below which a function is removed. */
    private static final double REMOVE_BELOW_COUNT = 0.05;

    /** Each takes about 0.7 KB, with the order of its preferred workers. */
    private static final int MAX_FUNCTIONS = 2048;

    /** One in this many functions is removed when there are {@link #MAX_FUNCTIONS}. */
    private static final int REMOVED_SHARE_DIVISOR = 4;

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

    boolean isFull() {
        return byFunction.size() >= MAX_FUNCTIONS;
    }

    /**
     * Removes functions that are hardly requested any more, passing each to {@code onRemoved}. Returns whether any was
     * removed.
     */
    boolean removeIdle(Consumer<FunctionStats> onRemoved) {
        return removeIf(stats -> stats.valueAt(context.now) < REMOVE_BELOW_COUNT, onRemoved);
    }

    /** Removes the functions that were requested least, passing each to {@code onRemoved}. */
    void removeLeastRequested(Consumer<FunctionStats> onRemoved) {
        double[] counts = byFunction.values().stream()
                .mapToDouble(stats -> stats.valueAt(context.now))
                .sorted()
                .toArray();
        double highestRemoved = counts[counts.length / REMOVED_SHARE_DIVISOR];
        removeIf(stats -> stats.valueAt(context.now) <= highestRemoved, onRemoved);
    }

    private boolean removeIf(Predicate<FunctionStats> condition, Consumer<FunctionStats> onRemoved) {
        return byFunction.values().removeIf(stats -> {
            boolean isRemoved = condition.test(stats);
            if (isRemoved) {
                onRemoved.accept(stats);
            }
            return isRemoved;
        });
    }
}
