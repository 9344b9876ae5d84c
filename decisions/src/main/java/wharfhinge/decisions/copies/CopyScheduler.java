package wharfhinge.decisions.copies;

import java.util.Optional;

/**
 * Schedules the calls and loads of one worker. A copy runs one call in each of its lanes at a time. A call runs on a copy with a free
 * lane, waits for one, starts a load, is answered as a miss, or is rejected; idle copies are evicted when memory is needed. This class
 * handles the events; the state is kept by its collaborators: {@link CallTable} (calls in flight), {@link LoadQueue} (admitted loads),
 * {@link LoadOrders} (orders for copies) and {@link CopyPool} (copies and their memory).
 *
 * <p>No I/O, clock or thread: events are passed in with their time in nanoseconds of one monotonic clock, and decisions are carried
 * out by {@link Actions}, which must not call the scheduler. Not thread-safe.
 *
 * <p>Waiting calls, waiting loads and loads in progress are bounded. A load beyond the bound of loads in progress waits; a call that
 * can neither wait nor start the load that it needs is answered with {@link Answer#FULL}.
 */
public final class CopyScheduler {
    /** How a call is answered. */
    public enum Answer {
        /** The call ran and was answered. */
        SERVED,
        /** The call ran and failed, or may still be running. */
        ERROR,
        /** The call did not run: no lane, queue place or memory was available in time, or the worker is draining. */
        FULL,
        /** The call did not run: no copy is loaded or being loaded, and only orders start loads. */
        MISS,
        /** The call did not run: the load that it waited for failed. */
        MISS_LOAD_FAILED
    }

    /** Which copies of its function a call found when it arrived. */
    public enum CopyUse {
        /** A copy was loaded, and it had a free lane or no load was pending. */
        ALREADY_LOADED,
        /** No copy was loaded or being loaded; the call started a load. */
        COLD_START,
        /** No lane was free, but a load admitted earlier was pending. */
        AWAITED_LOAD
    }

    /** How an order is answered. */
    public enum OrderAnswer {
        /** As many copies as requested are ready. */
        SERVED,
        /** Fewer copies than requested could be admitted, and those are ready; or the worker is draining. */
        FULL,
        /** A load failed, or was abandoned for lack of memory. */
        ERROR
    }

    /** How a call ended on its copy. */
    public enum CallEnd {
        /** The call was answered. */
        SERVED,
        /** The call failed and left the copy usable. */
        ERROR,
        /** The call failed, and the copy must not run another call. */
        COPY_BROKEN,
        /** The call exceeded its time limit, and its thread is still in the copy. */
        OVER_LIMIT
    }

    /** How a load ended. */
    public enum LoadEnd {
        /** The copy can run calls. */
        READY,
        /** The load failed and its memory was released. */
        FAILED,
        /** The load failed and its memory cannot be released because code in the copy does not end. */
        FAILED_STUCK,
        /** The package needs more memory than could be booked; {@link CopyScheduler#onMemoryMeasured} reported how much. */
        NEEDS_MORE_MEMORY
    }

    /** Operations that the worker carries out. Called in the order of the decisions; must not call the scheduler. */
    public interface Actions {
        /** Starts a load with {@code bookedKb} KiB booked for it; {@link CopyScheduler#onLoadCompleted} follows. */
        void startLoad(long copy, String function, long bookedKb);

        /** Runs a call on a copy; {@link CopyScheduler#onCallCompleted} follows. */
        void startCall(long call, long copy);

        /** Asks the code of a cancelled call to end. */
        void interruptCall(long call);

        /**
         * Answers a call.
         *
         * @param copyUse         which copies the call found on arrival; null if the call failed or did not run
         * @param concurrentCalls other calls of the function that ran or waited on this worker when the call arrived
         */
        void completeCall(long call, Answer answer, CopyUse copyUse, int concurrentCalls);

        /** Answers an order with the number of copies that are ready. */
        void completeOrder(long order, OrderAnswer answer, int readyCopies);

        /** Unloads a copy that runs no call; {@link CopyScheduler#onCopyUnloaded} or {@link CopyScheduler#onCopyStuck} follows. */
        void unloadCopy(long copy);

        /** Called when the graceful shutdown is complete: no call is in flight. */
        void onDrained();
    }

    private final CopySettings settings;
    private final Actions actions;
    private final CopyPool pool;
    private final LoadQueue loadQueue;
    private final CallTable calls;
    private final LoadOrders orders;
    private boolean isDraining;
    private boolean isDrained;

    /** Creates a scheduler for a worker without copies. */
    public CopyScheduler(CopySettings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.pool = new CopyPool(settings.totalKb(), actions);
        this.loadQueue = new LoadQueue(settings, pool, actions);
        this.calls = new CallTable(pool, actions);
        this.orders = new LoadOrders(actions);
    }

    /** The memory accounting, for reading only. */
    public MemoryAccounting memory() {
        return pool.memory();
    }

    /** Number of calls in flight, running or waiting. */
    public int callsInFlight() {
        return calls.inFlight();
    }

    /** Number of calls that wait for a copy. */
    public int queuedCalls() {
        return calls.waiting();
    }

    /** Number of loads in progress or waiting. */
    public int pendingLoads() {
        return loadQueue.size();
    }

    /** Number of copies in any state, including those whose load waits. */
    public int copyCount() {
        return pool.size();
    }

    /** Whether the worker is draining and accepts no new calls and orders. */
    public boolean isDraining() {
        return isDraining;
    }

    /**
     * Handles the arrival of a call.
     *
     * @param hint           the caller's estimate of what the function needs; used until its package reports it
     * @param expiresAtNanos when the caller stops waiting; a call that still waits then is rejected
     */
    public void onCall(long nowNanos, long callId, String functionName, MemoryEstimate hint, long expiresAtNanos) {
        if (isDraining) {
            actions.completeCall(callId, Answer.FULL, null, 0);
            return;
        }
        FunctionState function = pool.functionOf(functionName);
        ScheduledCall call = new ScheduledCall(callId, function, expiresAtNanos);
        Optional<Copy> free = function.copyWithFreeLane();
        if (free.isPresent()) {
            call.setCopyUse(CopyUse.ALREADY_LOADED);
            calls.start(call, free.get());
            return;
        }
        if (!function.hasLiveCopy() && !settings.loadsOnCall()) {
            calls.reject(call, Answer.MISS);
        } else if (calls.waiting() >= settings.maxQueuedCalls()) {
            calls.reject(call, Answer.FULL);
        } else {
            enqueueWithLoad(call, hint);
            startLoads();
        }
        pool.forgetIfUnused(function);
    }

    /** Queues a call; admits a load if its function has no copy or may get another. Rejects it if it has no copy and gets no load. */
    private void enqueueWithLoad(ScheduledCall call, MemoryEstimate hint) {
        FunctionState function = call.function();
        boolean isCold = !function.hasLiveCopy();
        boolean hasPendingLoad = function.hasPendingLoad();
        CopyUse otherwise = hasPendingLoad ? CopyUse.AWAITED_LOAD : CopyUse.ALREADY_LOADED;
        call.setCopyUse(isCold ? CopyUse.COLD_START : otherwise);
        boolean mayAddCopy = settings.loadsOnCall() && settings.addsCopiesOnCall() && !hasPendingLoad;
        boolean isLoadAdmitted = (isCold || mayAddCopy) && loadQueue.admit(function, hint, Copy.Cause.CALL);
        if (isCold && !isLoadAdmitted) {
            calls.reject(call, Answer.FULL);
        } else {
            calls.enqueue(call);
        }
    }

    /** The caller cancelled a call: a waiting call is dropped, a running one is asked to end. */
    public void onCallCancelled(long nowNanos, long callId) {
        ScheduledCall call = calls.find(callId).orElse(null);
        if (call == null || call.isCancelled()) {
            return;
        }
        call.markCancelled();
        if (call.isWaiting()) {
            calls.dequeue(call);
            loadQueue.cancelUnwanted(call.function());
            startLoadsAndCheckDrain();
        } else {
            actions.interruptCall(callId);
        }
    }

    /** A running call ended or exceeded its time limit. */
    public void onCallCompleted(long nowNanos, long callId, CallEnd end) {
        ScheduledCall call = calls.find(callId).orElse(null);
        if (call == null) {
            return;
        }
        Copy copy = call.copy()
                .orElseThrow(() -> new IllegalStateException("call " + callId + " ended before it was started"));
        calls.finish(call, copy, end);
        if (!call.isCancelled()) {
            calls.answer(call, end);
        }
        pool.onLaneFreed(copy, nowNanos);
        calls.startWaiting(nowNanos, copy.function());
        if (copy.isRetired() && !isDraining) {
            replaceRetiredCopy(copy.function());
        }
        startLoadsAndCheckDrain();
    }

    /** The thread of a call that exceeded its time limit has left its copy. */
    public void onOverdueThreadReturned(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            copy.onOverdueThreadReturned();
            pool.onLaneFreed(copy, nowNanos);
            startLoadsAndCheckDrain();
        });
    }

    /** Loads a replacement for a retired copy: with evictions if calls wait, otherwise only if it fits without them. */
    private void replaceRetiredCopy(FunctionState function) {
        boolean hasWaitingCalls = !function.waitingCalls().isEmpty();
        if (function.hasLiveCopy() && !hasWaitingCalls) {
            return;
        }
        boolean fitsWithoutEviction = loadQueue.fitsWithoutEviction(function);
        boolean isAdmitted = !function.hasPendingLoad()
                && (hasWaitingCalls || fitsWithoutEviction)
                && loadQueue.admit(function, MemoryEstimate.UNKNOWN, Copy.Cause.CALL);
        if (!isAdmitted && !function.hasLiveCopy()) {
            calls.rejectWaiting(function, Answer.FULL);
        }
    }

    /** Handles an order for {@code count} copies; 0 only asks how many are ready. The idle time of the function's idle copies restarts. */
    public void onLoadOrder(long nowNanos, long orderId, String functionName, int count, MemoryEstimate hint) {
        FunctionState function = pool.functionOf(functionName);
        function.restartIdleTimes(nowNanos);
        int wanted = 0;
        if (!isDraining) {
            loadQueue.admitUpTo(count, function, hint);
            wanted = Math.min(count, function.liveCopies());
        }
        orders.answerOrAwait(function, new LoadOrder(orderId, wanted, count > wanted));
        startLoads();
        pool.forgetIfUnused(function);
    }

    /** Cancels an order: the function's loads that have not started are dropped unless calls or other orders need them. */
    public void onLoadOrderCancelled(long nowNanos, long orderId) {
        orders.cancel(orderId).ifPresent(function -> {
            loadQueue.cancelUnwanted(function);
            startLoadsAndCheckDrain();
        });
    }

    /** Unloads a function's idle copies. Copies that run calls or are still being loaded stay. */
    public void onUnloadOrder(long nowNanos, String functionName) {
        pool.findFunction(functionName).ifPresent(function -> {
            pool.unloadIdleCopies(function);
            startLoadsAndCheckDrain();
        });
    }

    /**
     * Handles the report of a package on what its copies need.
     *
     * @return false if the booked memory does not suffice and not enough is free: the load must then end as
     *     {@link LoadEnd#NEEDS_MORE_MEMORY}
     */
    public boolean onMemoryMeasured(long nowNanos, long copyId, MemoryEstimate measured) {
        boolean isCovered = loadQueue.onMeasured(pool.get(copyId), measured);
        if (isCovered) {
            startLoadsAndCheckDrain();
        }
        return isCovered;
    }

    /** A load ended. */
    public void onLoadCompleted(long nowNanos, long copyId, LoadEnd end) {
        Copy copy = pool.get(copyId);
        loadQueue.onLoadEnded();
        if (end == LoadEnd.READY) {
            pool.markReady(copy, nowNanos);
            calls.startWaiting(nowNanos, copy.function());
            orders.onCopyReady(copy.function());
        } else {
            onLoadFailed(copy, end);
        }
        startLoadsAndCheckDrain();
    }

    private void onLoadFailed(Copy copy, LoadEnd end) {
        if (end == LoadEnd.FAILED_STUCK) {
            pool.markStuck(copy);
        } else {
            pool.release(copy);
        }
        FunctionState function = copy.function();
        boolean isWanted = !isDraining && (!function.waitingCalls().isEmpty() || copy.cause() == Copy.Cause.ORDER);
        boolean isRetried = end == LoadEnd.NEEDS_MORE_MEMORY
                && isWanted
                && loadQueue.admit(function, MemoryEstimate.UNKNOWN, copy.cause());
        if (!isRetried) {
            answerWithoutCopy(function, end == LoadEnd.NEEDS_MORE_MEMORY ? Answer.FULL : Answer.MISS_LOAD_FAILED);
        }
    }

    /** A load will not complete: answers the function's orders, and its waiting calls if no other copy can run them. */
    private void answerWithoutCopy(FunctionState function, Answer answer) {
        if (!function.hasLiveCopy()) {
            calls.rejectWaiting(function, answer);
        }
        orders.onLoadFailed(function);
    }

    /** A copy that was asked to stop has stopped, and its memory is free. */
    public void onCopyUnloaded(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            pool.release(copy);
            startLoadsAndCheckDrain();
        });
    }

    /** A copy that was asked to stop does not stop: its memory stays booked until a later {@link #onCopyUnloaded}. */
    public void onCopyStuck(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            pool.markStuck(copy);
            startLoadsAndCheckDrain();
        });
    }

    /** The process was found to hold {@code leakedKb} KiB more memory than is booked. */
    public void onLeakMeasured(long nowNanos, long leakedKb) {
        pool.memory().setLeakedKb(leakedKb);
        startLoadsAndCheckDrain();
    }

    /** Called periodically: unloads copies that have been idle for too long and rejects calls whose callers have stopped waiting. */
    public void onTick(long nowNanos) {
        pool.unloadExpiredCopies(nowNanos, settings.idleRetentionNanos());
        calls.rejectExpired(nowNanos, loadQueue::cancelUnwanted);
        startLoadsAndCheckDrain();
    }

    /** Starts a graceful shutdown: calls in flight finish, orders are rejected, and waiting loads that no call needs are cancelled. */
    public void onDrain(long nowNanos) {
        isDraining = true;
        for (FunctionState function : pool.functions()) {
            orders.rejectAll(function);
            loadQueue.cancelUnwanted(function);
        }
        startLoadsAndCheckDrain();
    }

    /** Starts the loads that can start now and reports the end of a graceful shutdown. */
    private void startLoadsAndCheckDrain() {
        startLoads();
        if (isDraining && !isDrained && calls.inFlight() == 0) {
            isDrained = true;
            actions.onDrained();
        }
    }

    private void startLoads() {
        loadQueue.startNext(this::onLoadAbandoned);
    }

    private void onLoadAbandoned(FunctionState function) {
        answerWithoutCopy(function, Answer.FULL);
        pool.forgetIfUnused(function);
    }
}
