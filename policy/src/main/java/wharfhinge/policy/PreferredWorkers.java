package wharfhinge.policy;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Orders the workers by each function's preference, using rendezvous hashing weighted by the listed capacities.
 *
 * <p>Departure from the source design: it acts where no worker is believed to have the function. Dispatchers that share
 * no state, and one that was restarted, derive the same order from the endpoint list alone and so select the same
 * workers; without it each would load its own copy. It may hurt where a preferred worker has little memory.
 *
 * <p>Sorting the fleet is expensive, so the head of each order is cached until the endpoint list changes.
 */
final class PreferredWorkers {
    private static final WorkerState[] NONE = {};
    private static final int UNUSED_BITS = 11; // of 64: the remaining 53 fit into a double exactly
    private static final double HASH_RANGE = 1L << 53;

    private final WorkerRegistry registry;
    private final Map<String, WorkerState[]> headByFunction = new HashMap<>();

    PreferredWorkers(WorkerRegistry registry) {
        this.registry = registry;
    }

    /** Mixes the bits of a hash code (the finalizer of SplitMix64). */
    static long mix(long value) {
        long mixed = value * 0x9E3779B97F4A7C15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    /** A pseudo-random value between 0 and 1 that is fixed for a worker and a function. */
    static double uniform(WorkerState worker, long functionHash) {
        return ((mix(worker.hash ^ functionHash) >>> UNUSED_BITS) + 0.5) / HASH_RANGE;
    }

    /** Score of a worker for a function: the worker with the least score is preferred most. */
    private static double score(WorkerState worker, long functionHash) {
        return -Math.log(uniform(worker, functionHash)) / worker.capacity();
    }

    /** Discards the cached orders, since the endpoint list changed. */
    void invalidate() {
        headByFunction.clear();
    }

    /** Discards the cached orders of all functions but these. */
    void retain(Set<String> functions) {
        headByFunction.keySet().retainAll(functions);
    }

    /** The most preferred worker that qualifies, or null. */
    WorkerState first(String function, long functionHash, Predicate<WorkerState> qualifies) {
        for (WorkerState worker : headByFunction.getOrDefault(function, NONE)) {
            if (qualifies.test(worker)) {
                return worker;
            }
        }
        WorkerState first = null;
        double least = Double.POSITIVE_INFINITY;
        for (WorkerState worker : registry.active()) {
            // Since -log(u) >= 1 - u, most workers are found not to score lower without computing a logarithm.
            boolean worse = 1 - uniform(worker, functionHash) >= least * worker.capacity();
            double score = worse ? least : score(worker, functionHash);
            if (score < least && qualifies.test(worker)) {
                least = score;
                first = worker;
            }
        }
        return first;
    }

    /**
     * The most preferred workers in order: at least {@code count}, or all if there are fewer. The array must not be
     * changed.
     */
    WorkerState[] head(String function, long functionHash, int count) {
        WorkerState[] head = headByFunction.get(function);
        if (head == null || head.length < Math.min(count, registry.active().size())) {
            registry.active().forEach(worker -> worker.preferenceScore = score(worker, functionHash));
            head = registry.active().toArray(NONE);
            Arrays.sort(head, Comparator.comparingDouble(worker -> worker.preferenceScore));
            head = Arrays.copyOf(head, Math.min(2 * count, head.length));
            headByFunction.put(function, head);
        }
        return head;
    }
}
