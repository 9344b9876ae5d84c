package wharfhinge.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
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
 * <p>Sorting the fleet is expensive, so the head of each order is kept. A change of the endpoint list removes and inserts
 * the workers that it concerns. The heads of all functions together have a bound: those longer than {@link #SHORT_HEAD}
 * are shortened once they hold more than {@link #MAX_LONG_HEAD_ENTRIES} workers.
 */
final class PreferredWorkers {
    /** Length up to which a head is kept as long as its function. */
    static final int SHORT_HEAD = 64;

    /** Workers in heads that are longer than {@link #SHORT_HEAD}, in total. Each takes 4 bytes. */
    static final int MAX_LONG_HEAD_ENTRIES = 32_768;

    private static final int MIN_HEAD = 10;

    /** Scores computed for one change of the endpoint list; where there would be more, the heads are computed anew. */
    private static final int MAX_INSERTION_SCORES = 400_000;

    private static final int UNUSED_BITS = 11; // of 64: the remaining 53 fit into a double exactly
    private static final double HASH_RANGE = 1L << 53;

    private static final Comparator<WorkerState> BY_SCORE = Comparator.comparingDouble(
                    (WorkerState worker) -> worker.preferenceScore)
            .thenComparing(WorkerState.BY_ORDINAL);

    /**
     * The first workers of a function's order.
     *
     * @param workers the workers in order
     * @param bound   score up to which all workers are in {@code workers}; infinite if all workers of the fleet are
     */
    private record Head(long functionHash, WorkerState[] workers, double bound) {
        boolean coversFleet() {
            return bound == Double.POSITIVE_INFINITY;
        }

        boolean hasUnorderedWorker() {
            for (WorkerState worker : workers) {
                if (!worker.inPreferenceOrders) {
                    return true;
                }
            }
            return false;
        }
    }

    private final WorkerRegistry registry;
    private final Map<String, Head> headByFunction = new LinkedHashMap<>();
    private int longHeadEntries;

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

    /** Whether the worker's score is {@code bound} or more. Finds that of most workers without computing a logarithm. */
    private static boolean scoresAtLeast(WorkerState worker, long functionHash, double bound) {
        // -log(u) >= 1 - u
        return 1 - uniform(worker, functionHash) >= bound * worker.capacity() || score(worker, functionHash) >= bound;
    }

    // ---- Changes of the endpoint list ----

    /**
     * Applies a change of the active workers to the kept orders.
     *
     * @return the functions whose most preferred worker is another than before, as far as their orders are kept
     */
    Set<String> onActiveChanged(WorkerRegistry.ActiveChange change) {
        change.removed().forEach(worker -> worker.inPreferenceOrders = false);
        Set<String> functions = (long) change.added().size() * headByFunction.size() > MAX_INSERTION_SCORES
                ? discardAll()
                : updateAll(change.added());
        change.added().forEach(worker -> worker.inPreferenceOrders = true);
        return functions;
    }

    private Set<String> discardAll() {
        Set<String> functions = new HashSet<>(headByFunction.keySet());
        headByFunction.clear();
        longHeadEntries = 0;
        return functions;
    }

    private Set<String> updateAll(List<WorkerState> added) {
        Set<String> functions = new HashSet<>();
        for (Map.Entry<String, Head> entry : headByFunction.entrySet()) {
            Head before = entry.getValue();
            List<WorkerState> inserted = insertedInto(before, added);
            if (!inserted.isEmpty() || before.hasUnorderedWorker()) {
                Head after = updated(before, inserted);
                if (firstOf(after) != firstOf(before) || inserted.contains(firstOf(after))) {
                    functions.add(entry.getKey());
                }
                longHeadEntries += longEntries(after) - longEntries(before);
                entry.setValue(after);
            }
        }
        return functions;
    }

    private static WorkerState firstOf(Head head) {
        return head.workers.length == 0 ? null : head.workers[0];
    }

    private static List<WorkerState> insertedInto(Head head, List<WorkerState> added) {
        List<WorkerState> inserted = List.of();
        for (WorkerState worker : added) {
            if (head.coversFleet() || !scoresAtLeast(worker, head.functionHash, head.bound)) {
                inserted = inserted.isEmpty() ? new ArrayList<>(2) : inserted;
                inserted.add(worker);
            }
        }
        return inserted;
    }

    /** The head without the workers that were removed and with those that were inserted. */
    private static Head updated(Head head, List<WorkerState> inserted) {
        List<WorkerState> workers = new ArrayList<>(head.workers.length + inserted.size());
        for (WorkerState worker : head.workers) {
            if (worker.inPreferenceOrders) {
                workers.add(worker);
            }
        }
        workers.addAll(inserted);
        int maxLength = Math.max(head.workers.length, head.coversFleet() ? SHORT_HEAD : MIN_HEAD);
        return sortedHead(head.functionHash, workers.toArray(WorkerState[]::new), maxLength, head.bound);
    }

    /**
     * The head of these workers once they are sorted.
     *
     * @param bound score up to which {@code workers} has all workers of the fleet
     */
    private static Head sortedHead(long functionHash, WorkerState[] workers, int maxLength, double bound) {
        for (WorkerState worker : workers) {
            worker.preferenceScore = score(worker, functionHash);
        }
        Arrays.sort(workers, BY_SCORE);
        if (workers.length <= maxLength) {
            return new Head(functionHash, workers, bound);
        }
        WorkerState[] head = Arrays.copyOf(workers, maxLength);
        return new Head(functionHash, head, head[maxLength - 1].preferenceScore);
    }

    // ---- Functions ----

    /** Discards the kept orders of all functions but these. */
    void retain(Set<String> functions) {
        headByFunction.entrySet().removeIf(entry -> {
            boolean isRemoved = !functions.contains(entry.getKey());
            longHeadEntries -= isRemoved ? longEntries(entry.getValue()) : 0;
            return isRemoved;
        });
    }

    /** The most preferred worker that qualifies, or null. */
    WorkerState first(String function, long functionHash, Predicate<WorkerState> qualifies) {
        Head head = headByFunction.get(function);
        if (head != null) {
            for (WorkerState worker : head.workers) {
                if (qualifies.test(worker)) {
                    return worker;
                }
            }
        }
        WorkerState first = null;
        double least = Double.POSITIVE_INFINITY;
        for (WorkerState worker : registry.active()) {
            if (!scoresAtLeast(worker, functionHash, least) && qualifies.test(worker)) {
                least = score(worker, functionHash);
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
        Head head = headByFunction.get(function);
        if (head == null || head.workers.length < count && !head.coversFleet()) {
            Head longer = compute(functionHash, lengthFor(count));
            longHeadEntries += longEntries(longer) - (head == null ? 0 : longEntries(head));
            headByFunction.put(function, longer);
            if (longHeadEntries > MAX_LONG_HEAD_ENTRIES) {
                shortenOthers(function);
            }
            return longer.workers;
        }
        return head.workers;
    }

    /** Whether {@link #head} would return a kept order, without sorting the fleet. */
    boolean isHeadKept(String function, int count) {
        Head head = headByFunction.get(function);
        return head != null && (head.workers.length >= count || head.coversFleet());
    }

    private static int lengthFor(int count) {
        return count > SHORT_HEAD ? 2 * count : Math.min(SHORT_HEAD, Math.max(MIN_HEAD, 2 * count));
    }

    private Head compute(long functionHash, int length) {
        List<WorkerState> active = registry.active();
        if (length >= active.size()) {
            return sortedHead(functionHash, active.toArray(WorkerState[]::new), length, Double.POSITIVE_INFINITY);
        }
        if (length > SHORT_HEAD) {
            return sortedHead(functionHash, active.toArray(WorkerState[]::new), length, 0);
        }
        return select(functionHash, length);
    }

    /** Computes a short head without sorting the fleet. */
    private Head select(long functionHash, int length) {
        WorkerState[] selected = new WorkerState[length];
        int size = 0;
        for (WorkerState worker : registry.active()) {
            boolean isFull = size == length;
            if (isFull && scoresAtLeast(worker, functionHash, selected[size - 1].preferenceScore)) {
                continue;
            }
            worker.preferenceScore = score(worker, functionHash);
            int position = isFull ? size - 1 : size++;
            while (position > 0 && selected[position - 1].preferenceScore > worker.preferenceScore) {
                selected[position] = selected[position - 1];
                position--;
            }
            selected[position] = worker;
        }
        return new Head(functionHash, selected, selected[length - 1].preferenceScore);
    }

    private static int longEntries(Head head) {
        return head.workers.length > SHORT_HEAD ? head.workers.length : 0;
    }

    private void shortenOthers(String function) {
        for (Map.Entry<String, Head> entry : headByFunction.entrySet()) {
            Head head = entry.getValue();
            if (longEntries(head) > 0 && !entry.getKey().equals(function)) {
                WorkerState[] workers = Arrays.copyOf(head.workers, SHORT_HEAD);
                double bound = score(workers[SHORT_HEAD - 1], head.functionHash);
                longHeadEntries -= longEntries(head);
                entry.setValue(new Head(head.functionHash, workers, bound));
            }
        }
    }

    /** The number of workers in all heads. */
    int entryCount() {
        return headByFunction.values().stream()
                .mapToInt(head -> head.workers.length)
                .sum();
    }
}
