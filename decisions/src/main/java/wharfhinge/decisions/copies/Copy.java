package wharfhinge.decisions.copies;

import static java.util.Objects.requireNonNull;

import wharfhinge.decisions.copies.CopyScheduler.CallEnd;

/**
 * One copy of a function, from the admission of its load until its memory is free again. Only {@link CopyPool} changes its state,
 * which keeps the memory accounting consistent with it.
 */
final class Copy {
    /** State in the life cycle of a copy. */
    enum State {
        /** The load is admitted and waits for its turn or for memory; no memory is booked yet. */
        QUEUED,
        /** The load is in progress. */
        LOADING,
        /** The copy can run calls. */
        READY,
        /** The copy is stopping and its memory is being released. */
        UNLOADING,
        /** The memory cannot be released because code in the copy does not end. */
        STUCK
    }

    /** What a copy is loaded for. */
    enum Cause {
        CALL,
        ORDER
    }

    private final long id;
    private final FunctionState function;
    private long memoryKb;
    /** Number of calls that the copy can run concurrently; 1 until its package reports it. */
    private int lanes = 1;

    private State state = State.QUEUED;
    private boolean retired;
    private Cause cause;
    private int runningCalls;
    private int overdueThreads;
    private long idleSinceNanos;

    Copy(long id, FunctionState function, long memoryKb, Cause cause) {
        this.id = id;
        this.function = requireNonNull(function);
        this.memoryKb = memoryKb;
        this.cause = cause;
    }

    long id() {
        return id;
    }

    FunctionState function() {
        return function;
    }

    /** Memory booked for the copy, or to be booked when its load starts, in KiB. */
    long memoryKb() {
        return memoryKb;
    }

    void setMemoryKb(long memoryKb) {
        this.memoryKb = memoryKb;
    }

    void setLanes(int lanes) {
        this.lanes = Math.max(1, lanes);
    }

    boolean isQueued() {
        return state == State.QUEUED;
    }

    void setState(State state) {
        this.state = state;
    }

    /** Whether the copy can run calls, or will be able to once it is loaded. */
    boolean isLive() {
        return !retired && state != State.UNLOADING && state != State.STUCK;
    }

    boolean isReady() {
        return !retired && state == State.READY;
    }

    /** Whether the load of the copy waits or is in progress. */
    boolean isLoadPending() {
        return !retired && (state == State.QUEUED || state == State.LOADING);
    }

    boolean isIdle() {
        return isReady() && runningCalls == 0;
    }

    boolean hasFreeLane() {
        return isReady() && runningCalls < lanes;
    }

    /** Whether the copy takes no more calls: a call broke it or exceeded its time limit, or the copy is stuck. */
    boolean isRetired() {
        return retired;
    }

    void retire() {
        retired = true;
    }

    /** What the copy is loaded for. A load that ends for lack of memory is retried for an order even if no call waits. */
    Cause cause() {
        return cause;
    }

    /** Records that an order waits for the copy, whatever its load was admitted for. */
    void markOrdered() {
        cause = Cause.ORDER;
    }

    boolean hasRunningCalls() {
        return runningCalls > 0;
    }

    void onCallStarted() {
        runningCalls++;
    }

    /**
     * Records the end of a call. A call over its time limit leaves its thread in the copy; after that, or if a call broke the copy,
     * no further call may run.
     */
    void onCallEnded(CallEnd end) {
        runningCalls--;
        if (end == CallEnd.OVER_LIMIT) {
            overdueThreads++;
        }
        if (end == CallEnd.OVER_LIMIT || end == CallEnd.COPY_BROKEN) {
            retire();
        }
    }

    /** Whether threads of calls that exceeded their time limit are still in the copy. */
    boolean hasOverdueThreads() {
        return overdueThreads > 0;
    }

    void onOverdueThreadReturned() {
        overdueThreads--;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void restartIdleTime(long nowNanos) {
        idleSinceNanos = nowNanos;
    }
}
