package wharfhinge.decisions.copies;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import wharfhinge.decisions.copies.Copy.State;
import wharfhinge.decisions.copies.MemoryAccounting.Part;

/**
 * All copies of the worker, by id and by function. Every change of a copy's state goes through this class and is booked in the
 * {@link MemoryAccounting} at the same time.
 */
final class CopyPool {
    private final MemoryAccounting memory;
    private final CopyScheduler.Actions actions;
    private final Map<String, FunctionState> functions = new LinkedHashMap<>();
    private final Map<Long, Copy> copies = new LinkedHashMap<>();
    private long nextCopyId = 1;

    CopyPool(long totalMemoryKb, CopyScheduler.Actions actions) {
        this.memory = new MemoryAccounting(totalMemoryKb);
        this.actions = actions;
    }

    MemoryAccounting memory() {
        return memory;
    }

    int size() {
        return copies.size();
    }

    // ---- Functions --------------------------------------------------------------------------

    /** The state of a function, created if absent. */
    FunctionState functionOf(String name) {
        return functions.computeIfAbsent(name, FunctionState::new);
    }

    Optional<FunctionState> findFunction(String name) {
        return Optional.ofNullable(functions.get(name));
    }

    /** A snapshot of all functions that have copies, waiting calls or orders. */
    List<FunctionState> functions() {
        return List.copyOf(functions.values());
    }

    void forgetIfUnused(FunctionState function) {
        if (function.isUnused() && functions.get(function.name()) == function) {
            functions.remove(function.name());
        }
    }

    // ---- Copies -----------------------------------------------------------------------------

    Optional<Copy> find(long copyId) {
        return Optional.ofNullable(copies.get(copyId));
    }

    /** A copy that must be in the pool because its load is in progress. */
    Copy get(long copyId) {
        return find(copyId).orElseThrow(() -> new IllegalStateException("unknown copy " + copyId));
    }

    /** Adds a copy whose load has not started; {@link #markLoading} books its memory at the start of the load. */
    Copy add(FunctionState function, long memoryKb, Copy.Cause cause) {
        Copy copy = new Copy(nextCopyId++, function, memoryKb, cause);
        copies.put(copy.id(), copy);
        function.copies().add(copy);
        return copy;
    }

    void markLoading(Copy copy) {
        copy.setState(State.LOADING);
        memory.book(copy.id(), copy.memoryKb(), Part.LOADING);
    }

    void markReady(Copy copy, long nowNanos) {
        copy.setState(State.READY);
        markIdle(copy, nowNanos);
    }

    void markWorking(Copy copy) {
        memory.move(copy.id(), Part.WORKING);
    }

    private void markIdle(Copy copy, long nowNanos) {
        copy.restartIdleTime(nowNanos);
        memory.move(copy.id(), Part.IDLE);
    }

    void markStuck(Copy copy) {
        copy.setState(State.STUCK);
        copy.retire();
        memory.move(copy.id(), Part.STUCK);
    }

    /** Changes the memory booked for a copy. Returns false and changes nothing if the difference is more than is free. */
    boolean resize(Copy copy, long memoryKb) {
        if (!memory.resize(copy.id(), memoryKb)) {
            return false;
        }
        copy.setMemoryKb(memoryKb);
        return true;
    }

    /** Updates the state of a copy after a call or an overdue thread has left it. Does nothing while other calls run on it. */
    void onLaneFreed(Copy copy, long nowNanos) {
        if (copy.hasRunningCalls()) {
            return;
        }
        if (!copy.isRetired()) {
            markIdle(copy, nowNanos);
        } else if (copy.hasOverdueThreads()) {
            markStuck(copy);
        } else {
            startUnloading(copy);
        }
    }

    /** Removes a copy that has no memory booked, such as one whose load never started. */
    void remove(Copy copy) {
        copies.remove(copy.id());
        copy.function().copies().remove(copy);
        forgetIfUnused(copy.function());
    }

    /** Removes a copy whose memory has been released. */
    void release(Copy copy) {
        memory.remove(copy.id());
        remove(copy);
    }

    // ---- Unloading --------------------------------------------------------------------------

    private void startUnloading(Copy copy) {
        copy.setState(State.UNLOADING);
        memory.move(copy.id(), Part.LEAVING);
        actions.unloadCopy(copy.id());
    }

    void unloadIdleCopies(FunctionState function) {
        for (Copy copy : List.copyOf(function.copies())) {
            if (copy.isIdle()) {
                startUnloading(copy);
            }
        }
    }

    void unloadExpiredCopies(long nowNanos, long maxIdleNanos) {
        for (Copy copy : List.copyOf(copies.values())) {
            if (copy.isIdle() && nowNanos - copy.idleSinceNanos() > maxIdleNanos) {
                startUnloading(copy);
            }
        }
    }

    /**
     * Starts to unload idle copies that together free at least {@code neededKb}.
     *
     * @return the number of copies evicted; empty, with none evicted, if all idle copies together do not suffice
     */
    Optional<Integer> evict(long neededKb) {
        Optional<List<Long>> victims = EvictionPolicy.select(idleCopies(), neededKb);
        victims.ifPresent(ids -> ids.forEach(id -> startUnloading(copies.get(id))));
        return victims.map(List::size);
    }

    private List<EvictionPolicy.IdleCopy> idleCopies() {
        List<EvictionPolicy.IdleCopy> idle = new ArrayList<>();
        for (Copy copy : copies.values()) {
            if (copy.isIdle()) {
                idle.add(new EvictionPolicy.IdleCopy(copy.id(), copy.memoryKb(), copy.idleSinceNanos()));
            }
        }
        return idle;
    }
}
