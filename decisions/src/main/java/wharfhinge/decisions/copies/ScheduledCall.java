package wharfhinge.decisions.copies;

import java.util.Optional;
import wharfhinge.decisions.copies.CopyScheduler.CopyUse;

/** A call that waits for a copy or runs on one. */
final class ScheduledCall {
    private final long id;
    private final FunctionState function;
    private final long expiresAtNanos;
    private final int concurrentOnArrival;
    private CopyUse copyUse;
    private Copy copy;
    private boolean cancelled;

    /**
     * Creates a call that has just arrived.
     *
     * @param expiresAtNanos when the caller stops waiting
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

    /** Number of other calls of the function that ran or waited when this call arrived. */
    int concurrentOnArrival() {
        return concurrentOnArrival;
    }

    CopyUse copyUse() {
        return copyUse;
    }

    void setCopyUse(CopyUse copyUse) {
        this.copyUse = copyUse;
    }

    /** The copy that runs the call; empty while the call waits. */
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
