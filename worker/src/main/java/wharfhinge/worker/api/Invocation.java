package wharfhinge.worker.api;

import java.util.function.BooleanSupplier;

/** A call, passed to {@link Function#call}. */
public final class Invocation {
    private final String id;
    private final int attempt;
    private final byte[] input;
    private final long endsAt;
    private final BooleanSupplier cancelled;

    /** Creates a call whose time limit ends at {@code endsAt} on {@link System#nanoTime}. */
    public Invocation(String id, int attempt, byte[] input, long endsAt, BooleanSupplier cancelled) {
        this.id = id;
        this.attempt = attempt;
        this.input = input;
        this.endsAt = endsAt;
        this.cancelled = cancelled;
    }

    /** The call's id, the same for all its attempts; the idempotency key of a function whose effect is {@code keyed}. */
    public String id() {
        return id;
    }

    /** The number of the attempt, starting at 0. */
    public int attempt() {
        return attempt;
    }

    /** The input. The function may modify the array. */
    public byte[] input() {
        return input;
    }

    /** Time left until the call is given up, in milliseconds; negative once the limit has passed. */
    public long leftMillis() {
        return (endsAt - System.nanoTime()) / 1_000_000;
    }

    /** Whether the call was cancelled or given up. The thread is interrupted as well. */
    public boolean cancelled() {
        return cancelled.getAsBoolean();
    }
}
