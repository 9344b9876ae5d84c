package wharfhinge.decisions.copies;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * Loads that are admitted and wait for their turn, first come first served. A load is admitted once free memory, memory that
 * is being given back and what may be evicted cover it beside all loads admitted before; it starts once its memory is really
 * free and fewer loads than allowed run. So memory for either of two loads but not both goes to the first, and the second is
 * rejected at once.
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

    /** Loads under way or waiting. */
    int size() {
        return running + queue.size();
    }

    /** Admits a load and starts the evictions that it needs; false, and nothing done, where it can't be had. */
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

    /** Admits loads for an order until a function has so many live copies or no further one can be had. */
    void admitUpTo(int count, FunctionState function, MemoryEstimate hint) {
        int missing = count - function.liveCopies();
        boolean isAdmitted = true;
        for (int i = 0; i < missing && isAdmitted; i++) {
            isAdmitted = admit(function, hint, Copy.Cause.ORDER);
        }
    }

    /** Whether a further copy of a function fits beside all loads that wait, without any eviction. */
    boolean fitsWithoutEviction(FunctionState function) {
        MemoryAccounting memory = pool.memory();
        long availableKb = memory.freeKb() + memory.bookedKb(Part.LEAVING) - queuedKb;
        return availableKb >= estimates.memoryKb(function.name(), MemoryEstimate.UNKNOWN);
    }

    /**
     * Starts loads in the order of their admission. One whose memory was lost meanwhile, to a leak or a stuck copy, is given up.
     *
     * @param onGivenUp called for each load given up, once its copy is out of the pool
     */
    void startNext(Consumer<FunctionState> onGivenUp) {
        while (!queue.isEmpty()) {
            Copy next = queue.peek();
            boolean hasMemory = pool.memory().freeKb() >= next.memoryKb();
            if (hasMemory && running < settings.maxConcurrentLoads()) {
                dequeue(next);
                start(next);
            } else if (!hasMemory && pool.memory().bookedKb(Part.LEAVING) == 0 && !evictFor(next)) {
                dequeue(next);
                pool.remove(next);
                onGivenUp.accept(next.function());
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

    private boolean evictFor(Copy copy) {
        return pool.evict(copy.memoryKb() - pool.memory().freeKb()).orElse(0) > 0;
    }

    private void dequeue(Copy copy) {
        queue.remove(copy);
        queuedKb -= copy.memoryKb();
    }

    /** Leaves out the waiting loads of a function that neither a call nor an order wants any more. */
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

    /** A package reported what it needs; false where that much is not to be had beside the loads that wait. */
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
