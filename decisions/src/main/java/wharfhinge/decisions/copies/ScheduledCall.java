package wharfhinge.decisions.copies;

import java.util.Optional;
import wharfhinge.decisions.copies.CopyScheduler.CopyUse;

/** A call that waits for a copy or runs in one. */
final class ScheduledCall {
    private final long id;
    private final FunctionState function;
    private final long expiresAtNanos;
    private final int concurrentOnArrival;
    private CopyUse met;
    private Copy copy;
    private boolean cancelled;

    /**
     * A call that has just arrived.
     *
     * @param expiresAtNanos when its caller stops waiting
     */
    ScheduledCall(long id, FunctionState function, long expiresAtNanos) {
        this.id = id;
        this.function = function;
        this.expiresAtNanos = expiresAtNanos;
        this.concurrentOnArrival = function.callsInFlight();
    }

    long id() {
        return id;
    }

    FunctionState function() {
        return function;
    }

    boolean isExpired(long nowNanos) {
        return expiresAtNanos < nowNanos;
    }

    /** Other calls of its function that ran or waited when it arrived. */
    int concurrentOnArrival() {
        return concurrentOnArrival;
    }

    CopyUse met() {
        return met;
    }

    void setMet(CopyUse met) {
        this.met = met;
    }

    /** The copy that runs it; empty while it waits. */
    Optional<Copy> copy() {
        return Optional.ofNullable(copy);
    }

    boolean isWaiting() {
        return copy == null;
    }

    void assignTo(Copy target) {
        copy = target;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void markCancelled() {
        cancelled = true;
    }
}
