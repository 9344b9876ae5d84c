package wharfhinge.decisions.copies;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * Queue of admitted loads, in the order of their admission. A load is admitted if free memory, memory that is being released and
 * memory of evictable copies together cover this load and all loads admitted before it. It starts once its memory is actually free
 * and fewer loads than the maximum are in progress. If memory suffices for either of two loads but not for both, the first one gets
 * it and the second is rejected at once.
 */
final class LoadQueue {
    private final CopySettings settings;
    private final CopyPool pool;
    private final CopyScheduler.Actions actions;
    private final MemoryEstimates estimates;
    private final ArrayDeque<Copy> queue = new ArrayDeque<>();
    private long queuedKb;
    private int running;

    LoadQueue(CopySettings settings, CopyPool pool, CopyScheduler.Actions actions) {
        this.settings = settings;
        this.pool = pool;
        this.actions = actions;
        this.estimates = new MemoryEstimates(settings.defaultCopyKb());
    }

    /** Number of loads in progress or waiting. */
    int size() {
        return running + queue.size();
    }

    /** Admits a load and starts the evictions that it needs. Returns false and changes nothing if it cannot be admitted. */
    boolean admit(FunctionState function, MemoryEstimate hint, Copy.Cause cause) {
        long memoryKb = estimates.memoryKb(function.name(), hint);
        if (queue.size() >= settings.maxQueuedLoads()) {
            return false;
        }
        MemoryAccounting memory = pool.memory();
        long missingKb = memoryKb + queuedKb - memory.freeKb() - memory.bookedKb(Part.LEAVING);
        if (pool.evict(missingKb).isEmpty()) {
            return false;
        }
        Copy copy = pool.add(function, memoryKb, cause);
        queue.add(copy);
        queuedKb += memoryKb;
        return true;
    }

    /** Admits loads for an order until a function has {@code count} live copies or no further load can be admitted. */
    void admitUpTo(int count, FunctionState function, MemoryEstimate hint) {
        int missing = count - function.liveCopies();
        boolean isAdmitted = true;
        for (int i = 0; i < missing && isAdmitted; i++) {
            isAdmitted = admit(function, hint, Copy.Cause.ORDER);
        }
    }

    /** Whether a further copy of a function fits beside all waiting loads without any eviction. */
    boolean fitsWithoutEviction(FunctionState function) {
        MemoryAccounting memory = pool.memory();
        long availableKb = memory.freeKb() + memory.bookedKb(Part.LEAVING) - queuedKb;
        return availableKb >= estimates.memoryKb(function.name(), MemoryEstimate.UNKNOWN);
    }

    /**
     * Starts waiting loads in the order of their admission. A load whose memory has since been lost to a leak or a stuck copy is
     * abandoned.
     *
     * @param onAbandoned called for each abandoned load, after its copy was removed from the pool
     */
    void startNext(Consumer<FunctionState> onAbandoned) {
        while (!queue.isEmpty()) {
            Copy next = queue.peek();
            boolean hasMemory = pool.memory().freeKb() >= next.memoryKb();
            if (hasMemory && running < settings.maxConcurrentLoads()) {
                dequeue(next);
                start(next);
            } else if (!hasMemory && pool.memory().bookedKb(Part.LEAVING) == 0 && !evictFor(next)) {
                dequeue(next);
                pool.remove(next);
                onAbandoned.accept(next.function());
            } else {
                return;
            }
        }
    }

    private void start(Copy copy) {
        running++;
        pool.markLoading(copy);
        actions.startLoad(copy.id(), copy.function().name(), copy.memoryKb());
    }

    /** Starts to evict copies until the memory of a load will be free. Returns whether any eviction was started. */
    private boolean evictFor(Copy copy) {
        return pool.evict(copy.memoryKb() - pool.memory().freeKb()).orElse(0) > 0;
    }

    private void dequeue(Copy copy) {
        queue.remove(copy);
        queuedKb -= copy.memoryKb();
    }

    /** Cancels the waiting loads of a function if neither a call nor an order waits for it any more. */
    void cancelUnwanted(FunctionState function) {
        if (function.isAwaited()) {
            return;
        }
        for (Copy copy : List.copyOf(function.copies())) {
            if (copy.isQueued()) {
                dequeue(copy);
                pool.remove(copy);
            }
        }
    }

    /**
     * Records what a package needs and books that much memory for the copy. Returns false, with the booking unchanged, if it is not
     * available beside the waiting loads.
     */
    boolean onMeasured(Copy copy, MemoryEstimate measured) {
        estimates.learn(copy.function().name(), measured);
        copy.setLanes(measured.lanes());
        long additionalKb = measured.memoryKb() - copy.memoryKb();
        if (additionalKb > 0 && pool.memory().freeKb() - queuedKb < additionalKb) {
            return false;
        }
        return pool.resize(copy, measured.memoryKb());
    }

    void onLoadEnded() {
        running--;
    }
}
