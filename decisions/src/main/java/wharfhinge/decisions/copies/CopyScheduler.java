package wharfhinge.decisions.copies;

import java.util.Optional;

/**
 * Schedules the calls and loads of one worker: a call runs on a copy with a free lane, waits for one, starts a load, is a miss,
 * or is rejected; idle copies are evicted when memory is needed. The class reads as the way of an event; what it decides on
 * stands in collaborators: {@link CallTable} (calls in flight), {@link LoadQueue} (loads admitted), {@link LoadOrders} (orders
 * for copies) and {@link CopyPool} (copies and their memory).
 *
 * <p>Pure: events come in with their time in nanoseconds of one monotonic clock, {@link Actions} go out and may not call back
 * in. One thread.
 *
 * <p>Bounded are calls that wait, loads that wait and loads under way; beyond a bound the answer is {@link Answer#FULL}.
 */
public final class CopyScheduler {
    /** How a call is answered. */
    public enum Answer {
        /** It ran to its end. */
        SERVED,
        /** It ran and failed, or may still run. */
        ERROR,
        /** It did not run: no lane, queue place or memory is to be had in time. */
        FULL,
        /** It did not run: no copy is loaded, and only orders load. */
        MISS,
        /** It did not run: the load that it waited for failed. */
        MISS_LOAD_FAILED
    }

    /** Which copy a call ran on. */
    public enum CopyUse {
        /** One that was loaded when the call arrived. */
        ALREADY_LOADED,
        /** One that was loaded for the call: a cold start. */
        COLD_START,
        /** One whose load had been admitted before the call arrived. */
        AWAITED_LOAD
    }

    /** How an order is answered. */
    public enum OrderAnswer {
        /** As many copies as were asked for are ready. */
        SERVED,
        /** Fewer could be admitted; those that could are ready. */
        FULL,
        /** A load failed. */
        ERROR
    }

    /** How a call ended in its copy. */
    public enum CallEnd {
        /** With an answer. */
        SERVED,
        /** With an error that leaves the copy usable. */
        ERROR,
        /** With an error after which the copy must not run another call. */
        COPY_BROKEN,
        /** Not at all: it exceeded its time limit, and its thread is still in the copy. */
        OVER_LIMIT
    }

    /** How a load ended. */
    public enum LoadEnd {
        /** The copy can run calls. */
        READY,
        /** It failed and its memory was given back. */
        FAILED,
        /** It failed and its memory can't be given back: something in it does not end. */
        FAILED_STUCK,
        /** The package needs more memory than was booked; {@link CopyScheduler#onMemoryMeasured} has said how much. */
        NEEDS_MORE_MEMORY
    }

    /** What the worker has to do. Called in the order of the decisions; must not call the scheduler. */
    public interface Actions {
        /** Starts a load for which {@code bookedKb} KiB are booked; {@link CopyScheduler#onLoadCompleted} follows. */
        void startLoad(long copy, String function, long bookedKb);

        /** Runs a call; {@link CopyScheduler#onCallCompleted} follows. */
        void startCall(long call, long copy);

        /** Asks the code that runs a cancelled call to end. */
        void interruptCall(long call);

        /**
         * Answers a call.
         *
         * @param met     which copy ran it; null where none did, or it failed
         * @param concurrentCalls other calls of the function that ran or waited on this worker when the call arrived
         */
        void completeCall(long call, Answer answer, CopyUse met, int concurrentCalls);

        /** Answers an order with the number of copies that are ready. */
        void completeOrder(long order, OrderAnswer answer, int ready);

        /** Gives an idle copy's memory back; {@link CopyScheduler#onCopyUnloaded} or {@link CopyScheduler#onCopyStuck} follows. */
        void unloadCopy(long copy);

        /** The graceful shutdown is complete: no call is in flight any more. */
        void onDrained();
    }

    private final CopySettings settings;
    private final Actions actions;
    private final CopyPool pool;
    private final LoadQueue pendingLoads;
    private final CallTable calls;
    private final LoadOrders orders;
    private boolean isDraining;
    private boolean drained;

    /** A scheduler of a worker that holds no copy. */
    public CopyScheduler(CopySettings settings, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        this.pool = new CopyPool(settings.totalKb(), actions);
        this.pendingLoads = new LoadQueue(settings, pool, actions);
        this.calls = new CallTable(pool, actions);
        this.orders = new LoadOrders(actions);
    }

    /** The accounting of memory; read only. */
    public MemoryAccounting memory() {
        return pool.memory();
    }

    /** Calls in flight, running and waiting. */
    public int callsInFlight() {
        return calls.inFlight();
    }

    /** Calls that wait for a copy. */
    public int queuedCalls() {
        return calls.waiting();
    }

    /** Loads under way or waiting. */
    public int pendingLoads() {
        return pendingLoads.size();
    }

    /** Copies in any state, those whose load waits included. */
    public int copyCount() {
        return pool.size();
    }

    /** Whether it accepts nothing new. */
    public boolean isDraining() {
        return isDraining;
    }

    /**
     * A call arrived.
     *
     * @param hint           what the caller says of the function's needs; used until its package reports them
     * @param expiresAtNanos when its caller stops waiting; a call that still waits then is rejected
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
            call.setMet(CopyUse.ALREADY_LOADED);
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

    /** Lets a call wait and, where its function lacks a copy or may have a further one, admits a load for it. */
    private void enqueueWithLoad(ScheduledCall call, MemoryEstimate hint) {
        FunctionState function = call.function();
        boolean isCold = !function.hasLiveCopy();
        boolean isCopyComing = function.hasCopyComing();
        CopyUse otherwise = isCopyComing ? CopyUse.AWAITED_LOAD : CopyUse.ALREADY_LOADED;
        call.setMet(isCold ? CopyUse.COLD_START : otherwise);
        boolean mayAddCopy = settings.loadsOnCall() && settings.addsCopiesOnCall() && !isCopyComing;
        boolean isLoadAdmitted = (isCold || mayAddCopy) && pendingLoads.admit(function, hint, Copy.Cause.CALL);
        if (isCold && !isLoadAdmitted) {
            calls.reject(call, Answer.FULL);
        } else {
            calls.enqueue(call);
        }
    }

    /** The caller went away: a waiting call is dropped, a running one is asked to end. */
    public void onCallCancelled(long nowNanos, long callId) {
        ScheduledCall call = calls.find(callId).orElse(null);
        if (call == null || call.isCancelled()) {
            return;
        }
        call.markCancelled();
        if (call.isWaiting()) {
            calls.dequeue(call);
            pendingLoads.cancelUnwanted(call.function());
            settle();
        } else {
            actions.interruptCall(callId);
        }
    }

    /** A call's run ended, or is given up on. */
    public void onCallCompleted(long nowNanos, long callId, CallEnd end) {
        ScheduledCall call = calls.find(callId).orElse(null);
        if (call == null) {
            return;
        }
        Copy copy =
                call.copy().orElseThrow(() -> new IllegalStateException("call " + callId + " ended while it waited"));
        calls.finish(call, copy, end);
        if (!call.isCancelled()) {
            calls.answer(call, end);
        }
        pool.onLaneFreed(copy, nowNanos);
        calls.startWaiting(nowNanos, copy.function());
        if (copy.isRetired() && !isDraining) {
            replaceLostCopy(copy.function());
        }
        settle();
    }

    /** A thread of a call that was given up on left its copy. */
    public void onOverdueThreadReturned(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            copy.onOverdueThreadReturned();
            pool.onLaneFreed(copy, nowNanos);
            settle();
        });
    }

    /** A copy takes no more calls: a new one is loaded at the cost of others where calls wait, else only where it fits. */
    private void replaceLostCopy(FunctionState function) {
        boolean hasWaitingCalls = !function.waitingCalls().isEmpty();
        if (function.hasLiveCopy() && !hasWaitingCalls) {
            return;
        }
        boolean fitsWithoutEviction = pendingLoads.fitsWithoutEviction(function);
        boolean isAdmitted = !function.hasCopyComing()
                && (hasWaitingCalls || fitsWithoutEviction)
                && pendingLoads.admit(function, MemoryEstimate.UNKNOWN, Copy.Cause.CALL);
        if (!isAdmitted && !function.hasLiveCopy()) {
            calls.rejectWaiting(function, Answer.FULL);
        }
    }

    /** An order to hold so many copies; 0 only asks. The idle time of the function's idle copies starts again. */
    public void onLoadOrder(long nowNanos, long orderId, String functionName, int count, MemoryEstimate hint) {
        FunctionState function = pool.functionOf(functionName);
        function.restartIdleTimes(nowNanos);
        int wanted = 0;
        if (!isDraining) {
            pendingLoads.admitUpTo(count, function, hint);
            wanted = Math.min(count, function.liveCopies());
        }
        orders.answerOrAwait(function, new LoadOrder(orderId, wanted, count > wanted));
        startLoads();
        pool.forgetIfUnused(function);
    }

    /** Nobody waits for an order any more: its loads that have not started are left out, unless calls want them. */
    public void onLoadOrderCancelled(long nowNanos, long orderId) {
        orders.cancel(orderId).ifPresent(function -> {
            pendingLoads.cancelUnwanted(function);
            settle();
        });
    }

    /** Unloads a function's idle copies. One that runs a call, or has calls waiting for it, is not idle. */
    public void onUnloadOrder(long nowNanos, String functionName) {
        pool.findFunction(functionName).ifPresent(function -> {
            pool.unloadIdleCopies(function);
            settle();
        });
    }

    /**
     * A package reported what its copies need.
     *
     * @return false where the booked memory does not suffice and no more is free: the load has then to end as
     *     {@link LoadEnd#NEEDS_MORE_MEMORY}
     */
    public boolean onMemoryMeasured(long nowNanos, long copyId, MemoryEstimate measured) {
        boolean isCovered = pendingLoads.onMeasured(pool.get(copyId), measured);
        if (isCovered) {
            settle();
        }
        return isCovered;
    }

    /** A load ended. */
    public void onLoadCompleted(long nowNanos, long copyId, LoadEnd end) {
        Copy copy = pool.get(copyId);
        pendingLoads.onLoadEnded();
        if (end == LoadEnd.READY) {
            pool.markReady(copy, nowNanos);
            calls.startWaiting(nowNanos, copy.function());
            orders.onCopyReady(copy.function());
        } else {
            onLoadFailed(copy, end);
        }
        settle();
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
                && pendingLoads.admit(function, MemoryEstimate.UNKNOWN, copy.cause());
        if (!isRetried) {
            answerWithoutCopy(function, end == LoadEnd.NEEDS_MORE_MEMORY ? Answer.FULL : Answer.MISS_LOAD_FAILED);
        }
    }

    /** A load will not come: answers calls that no other copy can run, and orders. */
    private void answerWithoutCopy(FunctionState function, Answer answer) {
        if (!function.hasLiveCopy()) {
            calls.rejectWaiting(function, answer);
        }
        orders.onLoadFailed(function);
    }

    /** A copy that was asked to stop is gone and its memory is free. */
    public void onCopyUnloaded(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            pool.release(copy);
            settle();
        });
    }

    /** A copy that was asked to stop does not: its memory stays booked until {@link #onCopyUnloaded} follows after all. */
    public void onCopyStuck(long nowNanos, long copyId) {
        pool.find(copyId).ifPresent(copy -> {
            pool.markStuck(copy);
            settle();
        });
    }

    /** The process holds so much more memory than is booked. */
    public void onLeakMeasured(long nowNanos, long leakedKb) {
        pool.memory().setLeakedKb(leakedKb);
        settle();
    }

    /** Called at a steady pace: unloads copies idle for too long, rejects calls whose callers have stopped waiting. */
    public void onTick(long nowNanos) {
        pool.unloadExpiredCopies(nowNanos, settings.idleRetentionNanos());
        calls.rejectExpired(nowNanos, pendingLoads::cancelUnwanted);
        settle();
    }

    /** Starts a graceful shutdown: calls in flight finish, orders and loads that only they wanted are left out. */
    public void onDrain(long nowNanos) {
        isDraining = true;
        for (FunctionState function : pool.functions()) {
            orders.rejectAll(function);
            pendingLoads.cancelUnwanted(function);
        }
        settle();
    }

    private void settle() {
        startLoads();
        if (isDraining && !drained && calls.inFlight() == 0) {
            drained = true;
            actions.onDrained();
        }
    }

    private void startLoads() {
        pendingLoads.startNext(this::onLoadGivenUp);
    }

    private void onLoadGivenUp(FunctionState function) {
        answerWithoutCopy(function, Answer.FULL);
        pool.forgetIfUnused(function);
    }
}
