package wharfhinge.decisions.copies;

import static java.util.Objects.requireNonNull;

import wharfhinge.decisions.copies.CopyScheduler.CallEnd;

/**
 * One copy of a function, from the admission of its load until its memory is free again. {@link CopyPool} alone changes its
 * state, so that the memory accounting follows.
 */
final class Copy {
    /** Where a copy is in its life. */
    enum State {
        /** Its load is admitted and waits for its turn or for memory; no memory is booked yet. */
        QUEUED,
        /** Its load is under way. */
        LOADING,
        /** It can run calls. */
        READY,
        /** Its memory is being given back. */
        UNLOADING,
        /** Its memory can't be given back: something in it does not end. */
        STUCK
    }

    /** Who a load is for. */
    enum Cause {
        CALL,
        ORDER
    }

    private final long id;
    private final FunctionState function;
    private long memoryKb;
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

    /** What is booked for it, or is to be booked once its load starts. */
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

    /** Runs calls now or will once it is loaded. */
    boolean isLive() {
        return !retired && state != State.UNLOADING && state != State.STUCK;
    }

    boolean isReady() {
        return !retired && state == State.READY;
    }

    boolean isComing() {
        return !retired && (state == State.QUEUED || state == State.LOADING);
    }

    boolean isIdle() {
        return isReady() && runningCalls == 0;
    }

    boolean hasFreeLane() {
        return isReady() && runningCalls < lanes;
    }

    /** Takes no more calls: one of its calls broke it or did not end in time. */
    boolean isRetired() {
        return retired;
    }

    void retire() {
        retired = true;
    }

    /** What it is loaded for; a load for an order is repeated also where no call waits. */
    Cause cause() {
        return cause;
    }

    /** An order waits for it, whatever its load was admitted for. */
    void markOrdered() {
        cause = Cause.ORDER;
    }

    boolean hasRunningCalls() {
        return runningCalls > 0;
    }

    void onCallStarted() {
        runningCalls++;
    }

    /** A call left it. One that is over its limit leaves its thread, and after that or a fault no further call may run. */
    void onCallEnded(CallEnd end) {
        runningCalls--;
        if (end == CallEnd.OVER_LIMIT) {
            overdueThreads++;
        }
        if (end == CallEnd.OVER_LIMIT || end == CallEnd.COPY_BROKEN) {
            retire();
        }
    }

    /** Whether threads of calls that were given up on are still in it. */
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
